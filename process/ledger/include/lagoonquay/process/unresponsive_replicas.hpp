//! Ledger replicas that recently failed to answer.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/time.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace lagoonquay
{

//! Records for one second which replicas failed to answer. Thread-safe.
class unresponsive_replicas
{
public:
    //! Records that a replica did not answer in time, or not at all.
    void note_unresponsive(const endpoint& replica, instant now);
    //! Records that a replica has answered.
    void note_responsive(const endpoint& replica);

    //! @return the replicas in the given order, except that those which
    //! recently failed to answer come last.
    std::vector<endpoint>
    order_unresponsive_last(std::vector<endpoint> replicas, instant now) const;

private:
    mutable std::mutex mutex_;
    std::map<endpoint, instant> last_unanswered_;
};

} // namespace lagoonquay
