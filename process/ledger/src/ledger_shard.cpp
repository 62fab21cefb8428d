#include "lagoonquay/process/ledger_shard.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

bool same_holder(const entry_id& holder, incarnation run,
                 const claim_request& asked) noexcept
{
    return holder == asked->holder && run == asked->holder_run;
}

claim_vote held_by(const std::string& address)
{
    return claim_vote(
        {.verdict = claim_verdict::held, .holder_address = address});
}

} // namespace

// Twice the skew: the clock that set the creation time and the clock of this
// process may deviate in opposite directions.
bool past_fence(const ledger_options& options, wall_time wall) noexcept
{
    return wall > options.memory_since + 2 * options.clock_skew;
}

bool past_undated_fence(const ledger_options& options, instant now) noexcept
{
    return options.complete || now - options.began > options.undated_horizon;
}

ledger_shard::ledger_shard(ledger_options options) noexcept : options_(options)
{
}

claim_vote ledger_shard::claim(const claim_request& asked, instant now,
                               wall_time wall)
{
    const auto it = records_.find(asked->submission);
    if (it == records_.end())
        return add(asked, now, wall);
    auto& held = it->second;
    if (held.digest != asked->digest)
        return claim_vote({.verdict = claim_verdict::mismatch});
    if (asked->release)
        return release(held, asked, now);
    if (asked->round != claim_round())
        return renew(held, asked, now);
    if (held.closed)
        return claim_vote({.verdict = claim_verdict::closed});
    if (same_holder(held.holder, held.holder_run, asked))
        return claim_again(held, asked, now);
    if (now < held.lease_end)
        return held_by(held.holder_address);
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

// A replica never votes on a creation time that is in the future by its own
// clock. Everything it voted on before a restart was therefore created before
// its current records begin, and is fenced. It does not vote on submissions so
// old that their record may have expired.
bool ledger_shard::remembers(const claim_request& asked, instant now,
                             wall_time wall) const noexcept
{
    if (!asked->dated)
        return past_undated_fence(options_, now);
    const auto created = asked->created;
    return past_fence(options_, created) &&
           created <= wall + options_.clock_skew &&
           created + options_.oldest_submission >= wall;
}

claim_vote ledger_shard::add(const claim_request& asked, instant now,
                             wall_time wall)
{
    if (!remembers(asked, now, wall))
        return claim_vote({.verdict = claim_verdict::fenced});
    if (asked->release)
        return claim_vote({.verdict = claim_verdict::granted});
    record_claim(asked, now);
    return claim_vote({.verdict = claim_verdict::granted,
                       .round = records_.at(asked->submission).round});
}

void ledger_shard::record_claim(const claim_request& asked, instant now)
{
    record fresh;
    fresh.digest = asked->digest;
    fresh.holder = asked->holder;
    fresh.holder_run = asked->holder_run;
    fresh.holder_address = asked->holder_address;
    fresh.ask = asked->ask;
    fresh.closed = asked->close;
    fresh.round = std::max(asked->round, claim_round(1));
    fresh.first_claim = now;
    fresh.lease_end = now + asked->lease;
    fresh.reach = asked->reach;
    records_.emplace(asked->submission, std::move(fresh));
}

void ledger_shard::remember(const claim_request& held, instant now)
{
    if (!records_.contains(held->submission))
        record_claim(held, now);
}

void ledger_shard::set_complete() noexcept
{
    options_.complete = true;
}

// A holder that makes a new claim has lost the state of its earlier one. It
// adopts the submission like any other entry, but without waiting for its own
// lease to end. Duplicate and stale messages change nothing.
claim_vote ledger_shard::claim_again(record& held, const claim_request& asked,
                                     instant now)
{
    if (asked->ask < held.ask)
        return held_by(held.holder_address);
    if (asked->ask > held.ask)
        return adopt(held, asked, now);
    return claim_vote(
        {.verdict = claim_verdict::granted,
         .holder_address = {},
         .round = held.round,
         .first_claim_age = std::max(now - held.first_claim, duration(1)),
         .reach = held.reach});
}

claim_vote ledger_shard::release(record& held, const claim_request& asked,
                                 instant now)
{
    if (!same_holder(held.holder, held.holder_run, asked) ||
        held.ask != asked->ask)
        return held_by(held.holder_address);
    held.lease_end = now;
    return claim_vote({.verdict = claim_verdict::granted, .round = held.round});
}

// A renewal never takes a claim over, even after the lease of the other holder
// has expired: that holder may have used its claim, and only an adoption
// returns its reach.
claim_vote ledger_shard::renew(record& held, const claim_request& asked,
                               instant now)
{
    if (!same_holder(held.holder, held.holder_run, asked))
        return held_by(held.holder_address);
    held.closed = held.closed || asked->close;
    held.round = std::max(held.round, asked->round);
    held.lease_end = std::max(held.lease_end, now + asked->lease);
    held.reach = held.reach.joined(asked->reach);
    return claim_vote({.verdict = claim_verdict::granted,
                       .holder_address = {},
                       .round = held.round,
                       .first_claim_age = {},
                       .reach = held.adopted ? held.reach : agent_reach()});
}

claim_vote ledger_shard::adopt(record& held, const claim_request& asked,
                               instant now)
{
    const auto earlier_reach = held.reach;
    held.holder = asked->holder;
    held.holder_run = asked->holder_run;
    held.holder_address = asked->holder_address;
    held.ask = asked->ask;
    held.round = std::max(claim_round(held.round.number() + 1), asked->round);
    held.lease_end = now + asked->lease;
    held.adopted = true;
    held.reach = held.reach.joined(asked->reach);
    return claim_vote(
        {.verdict = claim_verdict::granted,
         .holder_address = {},
         .round = held.round,
         .first_claim_age = std::max(now - held.first_claim, duration(1)),
         .reach = earlier_reach});
}

} // namespace lagoonquay
