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

claim_tally::claim_tally(std::size_t replicas, duration lease,
                         instant sent) noexcept
    : replicas_(replicas), lease_(lease), sent_(sent)
{
}

std::optional<claim_outcome>
claim_tally::add(const std::optional<claim_vote>& vote)
{
    ++answered_;
    if (vote)
        votes_.push_back(*vote);
    if (decided_)
        return std::nullopt;
    auto outcome = decide();
    decided_ = outcome.has_value();
    return outcome;
}

std::optional<claim_outcome> claim_tally::decide()
{
    const auto quorum = replicas_ / 2 + 1;
    if (count(votes_, claim_verdict::mismatch) > 0)
        return claim_outcome({.status = claim_status::mismatch});
    if (count(votes_, claim_verdict::granted) >= quorum)
        return granted();
    if (answered_ < replicas_)
        return std::nullopt;
    return refused();
}

claim_outcome claim_tally::granted() const
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
        merged.reach.insert(merged.reach.end(), it->reach.begin(),
                            it->reach.end());
    }
    std::sort(merged.reach.begin(), merged.reach.end());
    merged.reach.erase(std::unique(merged.reach.begin(), merged.reach.end()),
                       merged.reach.end());
    return claim_outcome(std::move(merged));
}

claim_outcome claim_tally::refused() const
{
    for (const auto& it : votes_)
    {
        if (it->verdict != claim_verdict::held)
            continue;
        return claim_outcome({.status = claim_status::held_by_other,
                              .valid_until = {},
                              .holder_address = it->holder_address});
    }
    const bool fenced = count(votes_, claim_verdict::fenced) > 0;
    return claim_outcome(
        {.status = fenced ? claim_status::fenced : claim_status::unavailable});
}

} // namespace lagoonquay
