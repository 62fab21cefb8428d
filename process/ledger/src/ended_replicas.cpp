#include "lagoonquay/process/ended_replicas.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// A replica may begin anew and end again unseen between two looks. Longer than
// lost_holder_delay, after which a claim asks the replicas again.
constexpr duration max_sight_gap = std::chrono::seconds(3);
static_assert(max_sight_gap > lost_holder_delay);

} // namespace

claim_answer ended_replicas::note(const endpoint& replica, claim_answer answer,
                                  instant now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(ended_, [&](const auto& it)
                  { return now - it.second.last > max_sight_gap; });
    if (!answer.gone)
    {
        ended_.erase(replica);
        return answer;
    }
    auto& seen = ended_.try_emplace(replica, sight{now, now}).first->second;
    seen.last = std::max(seen.last, now);
    answer.gone_since = seen.first;
    return answer;
}

} // namespace lagoonquay
