//! Which reaches an entry has told which ledger replicas.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/ledger_shard.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <utility>

namespace lagoonquay
{

//! Numbers the reaches of one entry incarnation. Thread-safe.
class told_reaches
{
public:
    //! @return the claim with the number of its reach, agents included.
    claim_request name(const claim_request& asked);

    //! @return whether the replica has voted on a claim that told this reach.
    bool told(const endpoint& replica, reach_number reach) const;
    void note_told(const endpoint& replica, reach_number reach);
    //! Notes that the replica knows no reach of this entry.
    void forget(const endpoint& replica);

private:
    struct numbered_reach
    {
        reach_number number;
        agent_reach reach;
    };

    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::deque<numbered_reach> recent_; //!< the newest last
    std::set<std::pair<endpoint, reach_number>> told_;
};

} // namespace lagoonquay
