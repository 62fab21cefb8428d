#include "lagoonquay/process/ledger_replica.hpp"

#include <utility>

namespace lagoonquay
{

ledger_replica::ledger_replica(ledger_options options, clock_hook now,
                               wall_clock_hook wall)
    : options_(options), now_(std::move(now)), wall_(std::move(wall))
{
    for (auto& it : shards_)
        it = std::make_unique<guarded_shard>(options);
}

claim_vote ledger_replica::claim(const claim_request& request)
{
    if (request->submission.empty())
    {
        const bool votes =
            request->dated
                ? is_past_fence(options_, wall_())
                : complete_ || is_past_undated_fence(options_, now_());
        return claim_vote({.verdict = votes ? claim_verdict::granted
                                            : claim_verdict::fenced});
    }
    const auto resolved = reaches_.resolve(request, now_());
    if (!resolved)
        return claim_vote({.verdict = claim_verdict::unknown_reach});
    auto& target = shard_of(request->submission);
    const std::lock_guard lock(target.mutex);
    return target.shard.claim(*resolved, now_(), wall_());
}

ledger_replica::guarded_shard&
ledger_replica::shard_of(const submission_id& submission)
{
    return *shards_[std::hash<submission_id>()(submission) % shard_count];
}

void ledger_replica::restore_claim(const claim_request& held)
{
    auto& target = shard_of(held->submission);
    const std::lock_guard lock(target.mutex);
    target.shard.restore_claim(held, now_());
}

void ledger_replica::restore_record(const ledger_record& told)
{
    auto& target = shard_of(told->claim->submission);
    const std::lock_guard lock(target.mutex);
    target.shard.restore_record(told, now_());
}

std::vector<ledger_record> ledger_replica::recent_records_of(std::size_t shard)
{
    auto& source = *shards_[shard];
    const std::lock_guard lock(source.mutex);
    return source.shard.recent_records(now_());
}

ledger_record_page ledger_replica::recent_records(std::uint64_t first_shard,
                                                  std::size_t max_records,
                                                  const record_scope& scope)
{
    ledger_record_page page;
    for (auto n = first_shard; n < shards_.size(); ++n)
    {
        if (n > first_shard && page.records.size() >= max_records)
        {
            page.next = n;
            break;
        }
        for (auto& it : recent_records_of(n))
        {
            if (covers(scope, it->claim->submission))
                page.records.push_back(std::move(it));
        }
    }
    return page;
}

void ledger_replica::set_complete(const record_scope& scope)
{
    for (auto& it : shards_)
    {
        const std::lock_guard lock(it->mutex);
        it->shard.set_complete(scope);
    }
    complete_ = true;
}

bool ledger_replica::complete() const noexcept
{
    return complete_;
}

void ledger_replica::expire()
{
    reaches_.expire(now_(), options_.retention);
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
