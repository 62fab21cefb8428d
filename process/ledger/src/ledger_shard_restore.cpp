// Records that a replica which began anew takes from holders' reports and from
// the records of other replicas. Each join gives the same in any order.
#include "lagoonquay/process/ledger_shard.hpp"

#include <algorithm>

namespace lagoonquay
{

// A holder whose lease has not ended was granted the claim by a majority until
// then, so that no other entry was granted a later one.
void ledger_shard::restore_claim(const claim_request& held, instant now)
{
    auto source = record_source::proven;
    if (held->round == claim_round())
        source = record_source::in_flight;
    else if (held->lapsed)
        source = record_source::told;
    restore(ledger_record({.claim = held, .highest_round = held->round}),
            source, now);
}

void ledger_shard::restore_record(const ledger_record& told, instant now)
{
    restore(told, record_source::told, now);
}

// What is told of a submission beside a vote or a proof never replaces its
// holder: it raises the round that the next holder gets, and adds agents that
// an adopter asks.
//
// A record that is told on keeps its age, or it would never grow too old where
// replicas begin anew one after the other.
void ledger_shard::restore(const ledger_record& told, record_source source,
                           instant now)
{
    const auto& claim = told->claim;
    const auto highest = std::max(told->highest_round, claim->round);
    const auto lease_end = now + claim->lease - told->lapsed_for;
    const auto found = records_.find(claim->submission);
    if (found == records_.end())
    {
        auto& fresh = record_claim(claim, now);
        fresh.source = source;
        fresh.lease_end = lease_end;
        fresh.highest_round = std::max(fresh.highest_round, highest);
        return;
    }
    auto& known = found->second;
    const bool in_flight = source == record_source::in_flight;
    if (known.source == record_source::in_flight && in_flight)
        return join_report(known, claim, now);
    if (known.source != record_source::vote && source == record_source::proven)
        join_proof(known, claim);
    else if (known.source == record_source::in_flight ||
             known.source == record_source::told)
        join_told(known, claim, now);
    known.highest_round = std::max({known.highest_round, known.round, highest});
    known.closed = known.closed || claim->close;
    known.reach = known.reach.joined(claim->reach);
    if (known.source != record_source::vote)
        known.lease_end = std::max(known.lease_end, lease_end);
}

// Either of two claims in flight may come to be held. Without a holder, neither
// entry can release the record or renew it here before the lease ends.
void ledger_shard::join_report(record& known, const claim_request& other,
                               instant now)
{
    if (known.holder == other->holder && known.holder_run == other->holder_run)
        return;
    known.holder_run = incarnation();
    known.lease_end = std::max(known.lease_end, now + other->lease);
    known.reach = known.reach.joined(other->reach);
}

void ledger_shard::join_proof(record& known, const claim_request& held)
{
    if (known.source == record_source::proven && held->round <= known.round)
        return;
    set_holder(known, held);
    known.source = record_source::proven;
}

// Of two claims in one round at most one was granted by a quorum, and one of a
// lower round may be in force as long as its lease lasts: a replica grants its
// minority's votes in ever higher rounds. Then neither is named as the holder,
// and both leases are kept. If the lower one has ended, only its agents matter.
void ledger_shard::join_told(record& known, const claim_request& other,
                             instant now)
{
    const bool in_flight = known.source == record_source::in_flight;
    const auto known_round = in_flight ? claim_round() : known.round;
    known.source = record_source::told;
    const bool same =
        known.holder == other->holder && known.holder_run == other->holder_run;
    if (same)
    {
        if (other->round > known_round)
            set_holder(known, other);
        else if (other->round == known_round)
            known.ask = std::max(known.ask, other->ask);
        return;
    }
    const bool equal = other->round == known_round;
    const bool later = other->round > known_round;
    const bool in_force =
        later ? now < known.lease_end : other->lease > duration::zero();
    if (later || (equal && other->holder < known.holder))
        set_holder(known, other);
    if (equal || in_force)
        known.holder_run = incarnation();
}

void ledger_shard::set_holder(record& known, const claim_request& claim)
{
    known.digest = claim->digest;
    known.holder = claim->holder;
    known.holder_run = claim->holder_run;
    known.holder_address = claim->holder_address;
    known.ask = claim->ask;
    known.round = std::max(claim->round, claim_round(1));
    known.adopted = known.round > claim_round(1);
}

// A submission without a creation time is sent again at most
// max_undated_resubmission_delay after it was sent first, and so after the end
// of its first lease. Of one with a creation time a replica that began anew has
// no need: it votes on none that was created before its start. A claim in
// flight is reported by its own entry.
std::vector<ledger_record> ledger_shard::recent_records(instant now) const
{
    std::vector<ledger_record> recent;
    for (const auto& [submission, known] : records_)
    {
        if (known.dated || is_in_flight(known) ||
            now - known.lease_end >= options_.max_undated_resubmission_delay)
            continue;
        recent.push_back(to_ledger_record(submission, known, now));
    }
    return recent;
}

ledger_record ledger_shard::to_ledger_record(const submission_id& submission,
                                             const record& known, instant now)
{
    claim_request_options claim;
    claim.submission = submission;
    claim.digest = known.digest;
    claim.dated = known.dated;
    claim.holder = known.holder;
    claim.holder_run = known.holder_run;
    claim.holder_address = known.holder_address;
    claim.round = known.round;
    claim.ask = known.ask;
    claim.close = known.closed;
    claim.lease = std::max(known.lease_end - now, duration::zero());
    claim.reach = known.reach;
    return ledger_record(
        {.claim = claim_request(std::move(claim)),
         .highest_round = known.highest_round,
         .lapsed_for = std::max(now - known.lease_end, duration::zero())});
}

} // namespace lagoonquay
