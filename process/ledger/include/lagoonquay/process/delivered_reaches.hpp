//! Reaches that an entry has sent to ledger replicas.
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

//! Assigns numbers to the reaches of one entry incarnation, and records which
//! replicas have received them, so that later claims send only the number.
//! Thread-safe.
class delivered_reaches
{
public:
    //! Assigns a number to the reach of a claim; equal reaches get the same.
    //! @return the claim with the number and the agents of its reach; the
    //! unchanged claim if its reach is empty.
    claim_request name(const claim_request& asked);

    //! @return whether the replica has voted on a claim that contained this
    //! reach.
    bool is_delivered(const endpoint& replica, reach_number reach) const;
    void note_delivered(const endpoint& replica, reach_number reach);
    //! Removes all reaches recorded for a replica that has reported that it
    //! does not store them.
    void forget(const endpoint& replica);

private:
    struct numbered_reach
    {
        reach_number number;
        agent_reach reach;
    };

    mutable std::mutex mutex_;
    std::uint64_t last_number_ = 0;
    std::deque<numbered_reach> recent_; //!< newest last
    std::set<std::pair<endpoint, reach_number>> delivered_;
};

} // namespace lagoonquay
