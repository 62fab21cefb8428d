//! Reaches that holders have told a ledger replica.
#pragma once

#include "lagoonquay/process/ledger_shard.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace lagoonquay
{

//! Remembers the last few reaches of each holder, so that a claim need not
//! repeat its agents. Thread-safe.
class known_reaches
{
public:
    //! Remembers the reach of a claim that tells it, and finds that of one that
    //! only names it.
    //! @return the claim with its reach; nothing if the name is not known.
    std::optional<claim_request> resolve(const claim_request& asked,
                                         instant now);

    //! Forgets holders that have not claimed for so long.
    void expire(instant now, duration retention);

private:
    struct told_reach
    {
        reach_number number;
        agent_reach reach;
    };
    struct holder_reaches
    {
        incarnation run;
        instant heard{};
        std::deque<told_reach> told; //!< the newest last
    };

    static void remember(holder_reaches& holder, const claim_request& asked);

    std::mutex mutex_;
    std::map<entry_id, holder_reaches> holders_;
};

} // namespace lagoonquay
