#include "lagoonquay/process/claim_quorum.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// Combines the outcomes of two groups that both granted the claim. If their
// rounds differ, the holder has to confirm the higher one.
claim_outcome merge_outcomes(const claim_outcome& a, const claim_outcome& b)
{
    return a.with(
        [&](claim_outcome_options& it)
        {
            it.valid_until = std::min(it.valid_until, b->valid_until);
            it.confirmed = it.confirmed && b->confirmed && it.round == b->round;
            it.round = std::max(it.round, b->round);
            it.first_claim_age =
                std::max(it.first_claim_age, b->first_claim_age);
            it.reach = it.reach.joined(b->reach);
            it.records_lost_at =
                std::max(it.records_lost_at, b->records_lost_at);
        });
}

// A probe of the ledger claims nothing.
bool is_in_force(const claim_request& asked) noexcept
{
    return asked->submission.empty() ||
           (asked->round != claim_round() && !asked->lapsed);
}

//! @return the answer without the vote of a replica whose votes don't count.
claim_answer counted_answer(const replica_group& group, const endpoint& replica,
                            const claim_answer& answer)
{
    const auto& unlisted = group.unlisted;
    if (std::find(unlisted.begin(), unlisted.end(), replica) == unlisted.end())
        return answer;
    return {.vote = {}, .gone = answer.gone, .gone_since = answer.gone_since};
}

bool same_members(const replica_group& a, const replica_group& b)
{
    return a.local == b.local && std::set(a.others.begin(), a.others.end()) ==
                                     std::set(b.others.begin(), b.others.end());
}

} // namespace

claim_quorum::claim_quorum(const claim_request& asked,
                           std::vector<replica_group> groups, instant sent)
    : request_(asked), sent_(sent), asks_all_(asked->release || asked->lookup)
{
    for (auto& it : groups)
        add_group(std::move(it));
}

void claim_quorum::add_group(replica_group group)
{
    const claim_tally tally(group.others.size() + (group.local ? 1 : 0),
                            request_->lease, sent_, group.includes_all_entries,
                            is_in_force(request_));
    groups_.push_back({std::move(group), tally, {}});
}

// Of a group that is known late, some have answered already.
void claim_quorum::join_group(replica_group group, claim_step& step)
{
    const bool known = std::any_of(groups_.begin(), groups_.end(),
                                   [&](const group_quorum& it)
                                   { return same_members(it.group, group); });
    if (known)
        return;
    add_group(std::move(group));
    auto& added = groups_.back();
    if (added.group.local)
        count_answer(added, {.vote = local_});
    for (const auto& [replica, answer] : answers_)
    {
        if (contains(added, replica))
            count_answer(added, asks_all_ ? answer
                                          : counted_answer(added.group, replica,
                                                           answer));
    }
    ask(added, added.group.others.size(), step);
}

claim_step claim_quorum::start(const std::optional<claim_vote>& local)
{
    const claim_answer answer{.vote = local};
    local_ = local;
    claim_step step;
    for (auto& it : groups_)
    {
        if (it.group.local)
            count_answer(it, answer);
    }
    for (const auto& it : groups_)
        ask_initial(it, step);
    if (local && (*local)->verdict != claim_verdict::granted)
    {
        for (const auto& it : groups_)
            ask(it, it.group.local ? 1 : 0, step);
    }
    return decide(std::move(step));
}

claim_step claim_quorum::add(const endpoint& replica,
                             const claim_answer& answer,
                             std::vector<replica_group> more)
{
    pending_.erase(replica);
    claim_step step;
    for (auto& it : more)
        join_group(std::move(it), step);
    answers_.emplace_back(replica, answer);
    for (auto& it : groups_)
    {
        if (!contains(it, replica))
            continue;
        const auto counted =
            asks_all_ ? answer : counted_answer(it.group, replica, answer);
        count_answer(it, counted);
        ask_after_answer(it, counted, step);
    }
    return decide(std::move(step));
}

claim_step claim_quorum::hedge_pending()
{
    const auto silent = pending_;
    claim_step step;
    for (const auto& it : groups_)
    {
        const auto n = std::count_if(silent.begin(), silent.end(),
                                     [&](const endpoint& replica)
                                     { return contains(it, replica); });
        ask(it, static_cast<std::size_t>(n), step);
    }
    return decide(std::move(step));
}

const std::set<endpoint>& claim_quorum::pending() const noexcept
{
    return pending_;
}

bool claim_quorum::contains(const group_quorum& quorum, const endpoint& replica)
{
    const auto& others = quorum.group.others;
    return std::find(others.begin(), others.end(), replica) != others.end();
}

void claim_quorum::count_answer(group_quorum& quorum,
                                const claim_answer& answer)
{
    const auto outcome = answer.gone
                             ? quorum.tally.add_ended_replica(answer.gone_since)
                             : quorum.tally.add(answer.vote);
    if (outcome)
        quorum.outcome = outcome;
}

// A release and a lookup go to every replica, because any of them may have
// recorded the claim.
std::size_t
claim_quorum::initial_request_count(const group_quorum& quorum) const noexcept
{
    const auto others = quorum.group.others.size();
    if (asks_all_)
        return others;
    const std::size_t local = quorum.group.local ? 1 : 0;
    return (others + local) / 2 + 1 - local;
}

bool claim_quorum::has_pending(const group_quorum& quorum) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](const endpoint& replica)
                       { return contains(quorum, replica); });
}

// Asks the replicas that suffice for a majority if all of them grant. Those
// already asked for another group are not asked again.
void claim_quorum::ask_initial(const group_quorum& quorum, claim_step& step)
{
    if (quorum.outcome)
        return;
    for (std::size_t n = 0; n < initial_request_count(quorum); ++n)
        ask(quorum.group.others[n], step);
}

// Asks up to `count` more replicas of the group.
void claim_quorum::ask(const group_quorum& quorum, std::size_t count,
                       claim_step& step)
{
    if (quorum.outcome)
        return;
    for (const auto& replica : quorum.group.others)
    {
        if (count == 0)
            return;
        if (ask(replica, step))
            --count;
    }
}

bool claim_quorum::ask(const endpoint& replica, claim_step& step)
{
    if (!asked_.insert(replica).second)
        return false;
    pending_.insert(replica);
    step.ask.push_back(replica);
    return true;
}

// For each answer that is not a grant, one more replica is asked. If the group
// is undecided after a grant and no request is pending, the granted rounds
// differ. The remaining replicas may complete a majority for one round;
// otherwise the holder needs another round trip to confirm it.
void claim_quorum::ask_after_answer(const group_quorum& quorum,
                                    const claim_answer& answer,
                                    claim_step& step)
{
    const bool granted =
        answer.vote && (*answer.vote)->verdict == claim_verdict::granted;
    if (!granted)
        return ask(quorum, 1, step);
    if (!has_pending(quorum))
        ask(quorum, quorum.group.others.size(), step);
}

claim_step claim_quorum::decide(claim_step step)
{
    if (decided_)
        return {};
    std::optional<claim_outcome> all;
    bool open = false;
    for (const auto& it : groups_)
    {
        if (!it.outcome)
        {
            open = true;
            continue;
        }
        if ((*it.outcome)->status != claim_status::held)
        {
            decided_ = true;
            return {.ask = {}, .outcome = it.outcome};
        }
        all = all ? merge_outcomes(*all, *it.outcome) : *it.outcome;
    }
    if (open)
        return step;
    decided_ = true;
    return {.ask = {}, .outcome = all};
}

} // namespace lagoonquay
