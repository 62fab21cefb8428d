#include "lagoonquay/process/replica_order.hpp"

#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>
#include <cstdint>

namespace lagoonquay
{

namespace
{

// A silent replica is asked first again after this, as it may be back.
constexpr duration silence_lasts = std::chrono::seconds(1);

struct ranked_replica
{
    bool silent = false;
    std::uint64_t score = 0;
    const endpoint* replica = nullptr;
};

std::uint64_t score(std::uint64_t submission, const endpoint& replica) noexcept
{
    return mix_hash(stable_hash(submission, replica.address) + replica.port);
}

} // namespace

std::vector<endpoint>
replica_order::arrange(const submission_id& submission,
                       const std::vector<endpoint>& replicas, instant now) const
{
    const auto hash = stable_hash(stable_hash_start, submission.text());
    std::vector<ranked_replica> ranked;
    ranked.reserve(replicas.size());
    {
        const std::lock_guard lock(mutex_);
        for (const auto& it : replicas)
            ranked.push_back({silent(it, now), score(hash, it), &it});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b)
              { return a.silent != b.silent ? b.silent : a.score > b.score; });
    std::vector<endpoint> arranged;
    arranged.reserve(ranked.size());
    for (const auto& it : ranked)
        arranged.push_back(*it.replica);
    return arranged;
}

void replica_order::note_silent(const endpoint& replica, instant now)
{
    const std::lock_guard lock(mutex_);
    silent_since_.insert_or_assign(replica, now);
}

void replica_order::note_heard(const endpoint& replica)
{
    const std::lock_guard lock(mutex_);
    silent_since_.erase(replica);
}

// Call under the lock.
bool replica_order::silent(const endpoint& replica, instant now) const
{
    const auto found = silent_since_.find(replica);
    return found != silent_since_.end() && now - found->second < silence_lasts;
}

} // namespace lagoonquay
