#include "lagoonquay/process/ledger_replica.hpp"

namespace lagoonquay
{

ledger_replica::ledger_replica(ledger_options options, clock_hook now,
                               wall_clock_hook wall)
    : options_(options), now_(std::move(now)), wall_(std::move(wall))
{
    for (auto& it : shards_)
        it = std::make_unique<guarded_shard>(options);
}

claim_vote ledger_replica::claim(const claim_request& asked)
{
    if (asked->submission.empty())
    {
        const bool past = asked->dated
                              ? past_fence(options_, wall_())
                              : past_undated_fence(options_, now_());
        return claim_vote(
            {.verdict = past ? claim_verdict::granted : claim_verdict::fenced});
    }
    const auto hash = std::hash<submission_id>()(asked->submission);
    auto& target = *shards_[hash % shard_count];
    const std::lock_guard lock(target.mutex);
    return target.shard.claim(asked, now_(), wall_());
}

void ledger_replica::expire()
{
    for (auto& it : shards_)
    {
        const std::lock_guard lock(it->mutex);
        it->shard.expire(now_());
    }
}

std::size_t ledger_replica::size()
{
    std::size_t total = 0;
    for (auto& it : shards_)
    {
        const std::lock_guard lock(it->mutex);
        total += it->shard.size();
    }
    return total;
}

} // namespace lagoonquay
