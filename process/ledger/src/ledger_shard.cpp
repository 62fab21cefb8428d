#include "lagoonquay/process/ledger_shard.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

bool same_holder(const entry_id& holder, incarnation run,
                 const claim_request& request) noexcept
{
    return holder == request->holder && run == request->holder_run;
}

claim_vote held_by(const std::string& address)
{
    return claim_vote(
        {.verdict = claim_verdict::held, .holder_address = address});
}

} // namespace

// Twice the skew: the clock that set the creation time and the clock of this
// process may deviate in opposite directions.
bool is_past_fence(const ledger_options& options, wall_time wall) noexcept
{
    return wall > options.records_since + 2 * options.clock_skew;
}

bool is_past_undated_fence(const ledger_options& options, instant now) noexcept
{
    return options.complete ||
           now - options.started_at > options.max_undated_resubmission_delay;
}

ledger_shard::ledger_shard(ledger_options options) noexcept : options_(options)
{
}

claim_vote ledger_shard::claim(const claim_request& request, instant now,
                               wall_time wall)
{
    const auto it = records_.find(request->submission);
    if (request->lookup)
        return it == records_.end()
                   ? claim_vote({.verdict = claim_verdict::granted})
                   : look_up(it->second, now);
    if (it == records_.end())
        return add(request, now, wall);
    auto& held = it->second;
    if (is_in_flight(held) && !request->release &&
        !can_vote(request, now, wall))
        return claim_vote({.verdict = claim_verdict::fenced});
    const bool renews = request->round != claim_round();
    if (is_in_flight(held) &&
        (held.digest != request->digest ||
         (renews && !same_holder(held.holder, held.holder_run, request))))
        return replace_report(held, request, now, wall);
    if (held.digest != request->digest)
        return claim_vote({.verdict = claim_verdict::mismatch});
    if (request->release)
        return release(held, request, now);
    if (renews)
        return held.source == record_source::told &&
                       must_wait(held, request, now)
                   ? claim_vote({.verdict = claim_verdict::fenced})
                   : renew(held, request, now);
    if (held.closed)
        return claim_vote({.verdict = claim_verdict::closed});
    const bool same = same_holder(held.holder, held.holder_run, request);
    if (!same && now < held.lease_end)
        return held_by(held.holder_address);
    if (must_wait(held, request, now))
        return claim_vote({.verdict = claim_verdict::fenced});
    return same ? repeat_claim(held, request, now) : adopt(held, request, now);
}

// Another replica may know a higher round that this replica's earlier life
// granted.
bool ledger_shard::must_wait(const record& known, const claim_request& request,
                             instant now) const
{
    return known.source != record_source::vote && !request->dated &&
           !is_past_undated_fence_of(request->submission, now);
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

// A replica never votes on a creation time that is ahead of its own clock by
// more than the clock skew. Everything it voted on before a restart was
// therefore created before the fence that the restart sets, and is fenced. It
// does not vote on submissions so old that their record may have expired.
bool ledger_shard::can_vote(const claim_request& request, instant now,
                            wall_time wall) const
{
    if (!request->dated)
        return is_past_undated_fence_of(request->submission, now);
    const auto created = request->created;
    return is_past_fence(options_, created) &&
           created <= wall + options_.clock_skew &&
           created + options_.oldest_submission >= wall;
}

claim_vote ledger_shard::add(const claim_request& request, instant now,
                             wall_time wall)
{
    if (!can_vote(request, now, wall))
        return claim_vote({.verdict = claim_verdict::fenced});
    if (request->release)
        return claim_vote({.verdict = claim_verdict::granted});
    return claim_vote({.verdict = claim_verdict::granted,
                       .round = record_claim(request, now).round});
}

ledger_shard::record& ledger_shard::record_claim(const claim_request& request,
                                                 instant now)
{
    record fresh;
    fresh.digest = request->digest;
    fresh.holder = request->holder;
    fresh.holder_run = request->holder_run;
    fresh.holder_address = request->holder_address;
    fresh.ask = request->ask;
    fresh.dated = request->dated;
    fresh.closed = request->close;
    fresh.round = std::max(request->round, claim_round(1));
    fresh.highest_round = fresh.round;
    fresh.first_claim = now;
    fresh.lease_end = now + request->lease;
    fresh.adopted = fresh.round > claim_round(1);
    fresh.reach = request->reach;
    return records_.insert_or_assign(request->submission, std::move(fresh))
        .first->second;
}

bool ledger_shard::is_in_flight(const record& known) noexcept
{
    return known.source == record_source::in_flight;
}

// The entry that was reported may have been refused, also if it asked with the
// same content. If it came to hold the claim, a later record of it is
// elsewhere: an adopter confirms its claim by votes that are given after the
// report. So a majority that renews an earlier holder's claim includes a
// replica that refuses it. A first holder had no earlier one; who renews beside
// it has adopted from it.
claim_vote ledger_shard::replace_report(const record& known,
                                        const claim_request& request,
                                        instant now, wall_time wall)
{
    if (request->release || now < known.lease_end)
        return claim_vote({.verdict = claim_verdict::fenced});
    records_.erase(request->submission);
    auto vote = add(request, now, wall);
    const auto fresh = records_.find(request->submission);
    if (fresh != records_.end())
        fresh->second.replaces_report = request->round != claim_round();
    return vote;
}

void ledger_shard::set_complete(const record_scope& scope)
{
    options_.complete = true;
    scope_ = scope;
}

// What the scope leaves out was not asked for, and others may know of it.
bool ledger_shard::is_past_undated_fence_of(const submission_id& submission,
                                            instant now) const
{
    auto by_age = options_;
    by_age.complete = false;
    return is_past_undated_fence(by_age, now) ||
           (options_.complete && covers(scope_, submission));
}

// A holder that makes a new claim has lost the state of its earlier one. It
// adopts the submission like any other entry, but without waiting for its own
// lease to end. Duplicate and stale messages change nothing. A request that was
// reported before it came is no duplicate.
claim_vote ledger_shard::repeat_claim(record& held,
                                      const claim_request& request, instant now)
{
    if (request->ask < held.ask)
        return held_by(held.holder_address);
    if (request->ask > held.ask)
        return adopt(held, request, now);
    if (is_in_flight(held))
    {
        held.source = record_source::vote;
        return claim_vote(
            {.verdict = claim_verdict::granted, .round = held.round});
    }
    return claim_vote(
        {.verdict = claim_verdict::granted,
         .holder_address = {},
         .round = held.round,
         .first_claim_age = std::max(now - held.first_claim, duration(1)),
         .reach = held.reach});
}

claim_vote ledger_shard::look_up(const record& held, instant now)
{
    if (held.closed || now >= held.lease_end)
        return claim_vote({.verdict = claim_verdict::granted});
    return held_by(held.holder_address);
}

claim_vote ledger_shard::release(record& held, const claim_request& request,
                                 instant now)
{
    if (!same_holder(held.holder, held.holder_run, request) ||
        held.ask != request->ask)
        return held_by(held.holder_address);
    held.lease_end = now;
    return claim_vote({.verdict = claim_verdict::granted, .round = held.round});
}

// A renewal never takes a claim over, even after the lease of the other holder
// has expired: that holder may have used its claim, and only an adoption
// returns its reach.
claim_vote ledger_shard::renew(record& held, const claim_request& request,
                               instant now)
{
    if (!same_holder(held.holder, held.holder_run, request))
        return renew_beside(held, request, now);
    held.source = record_source::vote;
    held.closed = held.closed || request->close;
    held.round = std::max(held.round, request->round);
    held.highest_round = std::max(held.highest_round, held.round);
    held.adopted = held.adopted || held.round > claim_round(1);
    held.lease_end = std::max(held.lease_end, now + request->lease);
    held.reach = held.reach.joined(request->reach);
    return claim_vote({.verdict = claim_verdict::granted,
                       .holder_address = {},
                       .round = held.round,
                       .first_claim_age = {},
                       .reach = held.adopted ? held.reach : agent_reach()});
}

// A record that replaced a report may be that of an earlier holder, and the
// report that of the adopter which now renews in a later round.
claim_vote ledger_shard::renew_beside(const record& held,
                                      const claim_request& request, instant now)
{
    if (held.source == record_source::told)
        return renew_beside_told(held, request, now);
    if (!held.replaces_report || request->round <= held.round)
        return held_by(held.holder_address);
    if (now < held.lease_end)
        return claim_vote({.verdict = claim_verdict::fenced});
    const auto& fresh = record_claim(request, now);
    return claim_vote({.verdict = claim_verdict::granted,
                       .holder_address = {},
                       .round = fresh.round,
                       .first_claim_age = {},
                       .reach = fresh.reach});
}

// A record that another replica told names an entry that may never have held
// the claim, so that this replica's refusal must not be counted as another
// holder's. Any confirmation in its round ends before the leases told. A
// renewal after these is a holder's, and nobody was granted a higher round than
// a holder by a majority of which no living replica told.
claim_vote ledger_shard::renew_beside_told(const record& held,
                                           const claim_request& request,
                                           instant now)
{
    if (now < held.lease_end || request->round < held.highest_round)
        return claim_vote({.verdict = claim_verdict::fenced});
    const auto earlier_reach = held.reach;
    const bool closed = held.closed;
    auto& fresh = record_claim(request, now);
    fresh.closed = fresh.closed || closed;
    fresh.reach = fresh.reach.joined(earlier_reach);
    return claim_vote({.verdict = claim_verdict::granted,
                       .holder_address = {},
                       .round = fresh.round,
                       .first_claim_age = {},
                       .reach = fresh.adopted ? fresh.reach : agent_reach()});
}

claim_vote ledger_shard::adopt(record& held, const claim_request& request,
                               instant now)
{
    const auto earlier_reach = held.reach;
    held.source = record_source::vote;
    held.holder = request->holder;
    held.holder_run = request->holder_run;
    held.holder_address = request->holder_address;
    held.ask = request->ask;
    held.round =
        std::max(claim_round(held.highest_round.number() + 1), request->round);
    held.highest_round = held.round;
    held.lease_end = now + request->lease;
    held.adopted = true;
    held.reach = held.reach.joined(request->reach);
    return claim_vote(
        {.verdict = claim_verdict::granted,
         .holder_address = {},
         .round = held.round,
         .first_claim_age = std::max(now - held.first_claim, duration(1)),
         .reach = earlier_reach});
}

} // namespace lagoonquay
