#include "lagoonquay/process/unresponsive_replicas.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// After this time a replica is asked in its usual turn again, as it may have
// recovered.
constexpr duration unresponsive_duration = std::chrono::seconds(1);

} // namespace

void unresponsive_replicas::note_unresponsive(const endpoint& replica,
                                              instant now)
{
    const std::lock_guard lock(mutex_);
    last_unanswered_.insert_or_assign(replica, now);
}

void unresponsive_replicas::note_responsive(const endpoint& replica)
{
    const std::lock_guard lock(mutex_);
    last_unanswered_.erase(replica);
}

std::vector<endpoint>
unresponsive_replicas::order_unresponsive_last(std::vector<endpoint> replicas,
                                               instant now) const
{
    const std::lock_guard lock(mutex_);
    std::stable_partition(replicas.begin(), replicas.end(),
                          [&](const endpoint& it)
                          {
                              const auto found = last_unanswered_.find(it);
                              return found == last_unanswered_.end() ||
                                     now - found->second >=
                                         unresponsive_duration;
                          });
    return replicas;
}

} // namespace lagoonquay
