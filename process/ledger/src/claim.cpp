#include "lagoonquay/process/claim.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

std::size_t count(const std::vector<claim_vote>& votes, claim_verdict verdict)
{
    const auto n = std::count_if(votes.begin(), votes.end(),
                                 [&](const claim_vote& it)
                                 { return it->verdict == verdict; });
    return static_cast<std::size_t>(n);
}

} // namespace

std::string_view to_text(claim_status value) noexcept
{
    switch (value)
    {
    case claim_status::held:
        return "held";
    case claim_status::held_by_other:
        return "held_by_other";
    case claim_status::contested:
        return "contested";
    case claim_status::closed:
        return "closed";
    case claim_status::mismatch:
        return "mismatch";
    case claim_status::fenced:
        return "fenced";
    case claim_status::holder_lost:
        return "holder_lost";
    case claim_status::unavailable:
        return "unavailable";
    }
    return "unavailable";
}

claim_tally::claim_tally(std::size_t replicas, duration lease, instant sent,
                         bool holders_are_replicas, bool in_force) noexcept
    : replicas_(replicas), lease_(lease), sent_(sent),
      holders_are_replicas_(holders_are_replicas), in_force_(in_force)
{
}

std::optional<claim_outcome>
claim_tally::add(const std::optional<claim_vote>& vote)
{
    ++answered_;
    if (vote)
        votes_.push_back(*vote);
    return decide_once();
}

std::optional<claim_outcome> claim_tally::add_ended_replica(instant since)
{
    ++answered_;
    ++ended_;
    last_end_ = std::max(last_end_, since);
    return decide_once();
}

std::optional<claim_outcome> claim_tally::decide_once()
{
    if (decided_)
        return std::nullopt;
    auto outcome = decide();
    decided_ = outcome.has_value();
    return outcome;
}

std::optional<claim_outcome> claim_tally::decide()
{
    if (count(votes_, claim_verdict::mismatch) > 0)
        return claim_outcome({.status = claim_status::mismatch});
    if (count(votes_, claim_verdict::closed) > 0)
        return claim_outcome({.status = claim_status::closed});
    // If the granted rounds differ, confirming the highest one costs another
    // round trip. A later vote may spare that, so all answers are awaited.
    if (count(votes_, claim_verdict::granted) >= quorum())
    {
        if (may_lack_records() && sent_ - last_end_ < lost_holder_delay)
            return claim_outcome({.status = claim_status::holder_lost,
                                  .retry_at = last_end_ + lost_holder_delay});
        const auto outcome = granted_outcome();
        if (outcome->confirmed || answered_ == replicas_)
            return outcome;
        return std::nullopt;
    }
    if (const auto holder = quorum_holder())
        return claim_outcome({.status = claim_status::held_by_other,
                              .valid_until = {},
                              .holder_address = *holder});
    if (answered_ < replicas_)
        return std::nullopt;
    return refused_outcome();
}

claim_outcome claim_tally::granted_outcome() const
{
    claim_outcome_options merged;
    merged.status = claim_status::held;
    merged.valid_until = sent_ + lease_;
    for (const auto& it : votes_)
    {
        if (it->verdict != claim_verdict::granted)
            continue;
        merged.round = std::max(merged.round, it->round);
        merged.first_claim_age =
            std::max(merged.first_claim_age, it->first_claim_age);
        merged.reach = merged.reach.joined(it->reach);
    }
    const auto in_round =
        std::count_if(votes_.begin(), votes_.end(),
                      [&](const claim_vote& it) {
                          return it->verdict == claim_verdict::granted &&
                                 it->round == merged.round;
                      });
    merged.confirmed = static_cast<std::size_t>(in_round) >= quorum();
    if (may_lack_records())
    {
        merged.confirmed =
            merged.confirmed && merged.round >= first_round_after_loss;
        merged.records_lost_at = last_end_;
    }
    return claim_outcome(std::move(merged));
}

claim_outcome claim_tally::refused_outcome() const
{
    if (count(votes_, claim_verdict::held) > 0)
        return claim_outcome({.status = claim_status::contested});
    const bool fenced = count(votes_, claim_verdict::fenced) > 0;
    return claim_outcome(
        {.status = fenced ? claim_status::fenced : claim_status::unavailable});
}

std::optional<std::string> claim_tally::quorum_holder() const
{
    for (const auto& it : votes_)
    {
        if (it->verdict != claim_verdict::held)
            continue;
        const auto n = std::count_if(
            votes_.begin(), votes_.end(),
            [&](const claim_vote& other)
            {
                return other->verdict == claim_verdict::held &&
                       other->holder_address == it->holder_address;
            });
        if (static_cast<std::size_t>(n) >= quorum())
            return it->holder_address;
    }
    return std::nullopt;
}

// A claim in force was recorded by a majority of all replicas. Replicas whose
// process has ended do not vote, and vote again only after the record has been
// restored. So at least `with_record` of the remaining replicas have the
// record, and a quorum must be larger than the number of remaining replicas
// without it, so that it includes at least one that has it. If every holder is
// a replica itself, a remaining one has the record of each living holder
// however many have ended; otherwise there is no quorum once a majority has
// ended.
std::size_t claim_tally::quorum() const noexcept
{
    const auto majority = replicas_ / 2 + 1;
    if (ended_ == 0)
        return majority;
    const auto remaining = replicas_ - ended_;
    const std::size_t min_with_record = holders_are_replicas_ ? 1 : 0;
    const auto with_record =
        majority > ended_ ? majority - ended_ : min_with_record;
    return remaining - with_record + 1;
}

// Of a holder that ended with a majority of the replicas nobody may have a
// record. Who holds the claim knows that there is no such holder.
bool claim_tally::may_lack_records() const noexcept
{
    return !in_force_ && ended_ >= replicas_ / 2 + 1;
}

} // namespace lagoonquay
