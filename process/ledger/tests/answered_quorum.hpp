//! Claims whose replicas answer at once.
#pragma once

#include "lagoonquay/process/claim_quorum.hpp"

#include <functional>

namespace lagoonquay
{

//! Asks the replicas that each step names, until none is left or the claim is
//! decided.
//! @param answer  the answer of a replica.
//! @param told    the groups that a replica tells of with its vote, if any.
//! @return the outcome; `unavailable` if the claim stays undecided.
inline claim_outcome
ask_all(claim_quorum& quorum, claim_step step,
        const std::function<claim_answer(const endpoint&)>& answer,
        const std::function<std::vector<replica_group>(
            const endpoint&, const claim_vote&)>& told = {})
{
    while (!step.outcome && !step.ask.empty())
    {
        claim_step next;
        for (const auto& it : step.ask)
        {
            const auto given = answer(it);
            const auto more =
                quorum.add(it, given,
                           given.vote && told ? told(it, *given.vote)
                                              : std::vector<replica_group>());
            next.ask.insert(next.ask.end(), more.ask.begin(), more.ask.end());
            if (more.outcome)
                next.outcome = more.outcome;
        }
        step = next;
    }
    return step.outcome.value_or(claim_outcome());
}

} // namespace lagoonquay
