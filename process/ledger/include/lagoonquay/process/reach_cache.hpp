//! Reaches that a ledger replica has received from the holders of claims.
#pragma once

#include "lagoonquay/process/ledger_shard.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace lagoonquay
{

//! Caches the most recent reaches of each holder by their numbers, so that a
//! claim can name its agents by number instead of listing them. Thread-safe.
class reach_cache
{
public:
    //! Stores the reach of a claim that lists its agents, and looks up the
    //! reach of a claim that only contains its number.
    //! @return the claim with its reach; the unchanged claim if it has no reach
    //! number; nothing if the number is unknown.
    std::optional<claim_request> resolve(const claim_request& asked,
                                         instant now);

    //! Removes holders whose last claim is older than `retention`.
    void expire(instant now, duration retention);

private:
    struct stored_reach
    {
        reach_number number;
        agent_reach reach;
    };
    struct holder_reaches
    {
        incarnation run;
        instant last_claim{};
        std::deque<stored_reach> reaches; //!< newest last
    };

    static void store(holder_reaches& holder, const claim_request& asked);

    std::mutex mutex_;
    std::map<entry_id, holder_reaches> holders_;
};

} // namespace lagoonquay
