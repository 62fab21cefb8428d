#include "lagoonquay/process/ledger_shard.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

void add_reach(std::vector<agent_run_id>& known,
               const std::vector<agent_run_id>& more)
{
    for (const auto& it : more)
    {
        if (std::find(known.begin(), known.end(), it) != known.end())
            continue;
        known.push_back(it);
    }
}

} // namespace

ledger_shard::ledger_shard(ledger_options options) noexcept : options_(options)
{
}

claim_vote ledger_shard::claim(const claim_request& asked, instant now)
{
    const auto it = records_.find(asked->submission);
    if (it == records_.end())
        return add(asked, now);
    auto& held = it->second;
    if (held.digest != asked->digest)
        return claim_vote({.verdict = claim_verdict::mismatch});
    if (held.holder == asked->holder && held.holder_run == asked->holder_run)
        return renew(held, asked, now);
    if (now < held.lease_end)
        return claim_vote({.verdict = claim_verdict::held,
                           .holder_address = held.holder_address});
    return adopt(held, asked, now);
}

void ledger_shard::expire(instant now)
{
    std::erase_if(records_, [&](const auto& it)
                  { return now - it.second.lease_end > options_.retention; });
}

std::size_t ledger_shard::size() const noexcept
{
    return records_.size();
}

// Two skews: the clock that stamped the creation and this one may be off in
// opposite directions.
bool ledger_shard::remembers(wall_time created) const noexcept
{
    return created > options_.memory_since + 2 * options_.clock_skew;
}

claim_vote ledger_shard::add(const claim_request& asked, instant now)
{
    if (!remembers(asked->created))
        return claim_vote({.verdict = claim_verdict::fenced});
    record fresh;
    fresh.digest = asked->digest;
    fresh.holder = asked->holder;
    fresh.holder_run = asked->holder_run;
    fresh.holder_address = asked->holder_address;
    fresh.round = std::max(asked->round, claim_round(1));
    fresh.first_claim = now;
    fresh.lease_end = now + asked->lease;
    fresh.reach = asked->reach;
    const auto round = fresh.round;
    records_.emplace(asked->submission, std::move(fresh));
    return claim_vote({.verdict = claim_verdict::granted, .round = round});
}

claim_vote ledger_shard::renew(record& held, const claim_request& asked,
                               instant now)
{
    held.round = std::max(held.round, asked->round);
    held.lease_end = std::max(held.lease_end, now + asked->lease);
    add_reach(held.reach, asked->reach);
    return claim_vote({.verdict = claim_verdict::granted,
                       .holder_address = {},
                       .round = held.round,
                       .first_claim_age = {},
                       .reach = held.reach});
}

claim_vote ledger_shard::adopt(record& held, const claim_request& asked,
                               instant now)
{
    const auto earlier_reach = held.reach;
    held.holder = asked->holder;
    held.holder_run = asked->holder_run;
    held.holder_address = asked->holder_address;
    held.round = std::max(claim_round(held.round.number() + 1), asked->round);
    held.lease_end = now + asked->lease;
    add_reach(held.reach, asked->reach);
    return claim_vote(
        {.verdict = claim_verdict::granted,
         .holder_address = {},
         .round = held.round,
         .first_claim_age = std::max(now - held.first_claim, duration(1)),
         .reach = earlier_reach});
}

} // namespace lagoonquay
