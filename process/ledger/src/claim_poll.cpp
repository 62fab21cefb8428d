#include "lagoonquay/process/claim_poll.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// Combines the outcomes of two groups that both granted the claim. If their
// rounds differ, the holder has to confirm the higher one.
claim_outcome join(const claim_outcome& a, const claim_outcome& b)
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
        });
}

} // namespace

claim_poll::claim_poll(const claim_request& asked,
                       std::vector<replica_group> groups, instant sent)
    : release_(asked->release)
{
    for (auto& it : groups)
    {
        const claim_tally tally(it.others.size() + (it.local ? 1 : 0),
                                asked->lease, sent, it.whole);
        groups_.push_back({std::move(it), tally, {}});
    }
}

claim_step claim_poll::start(const std::optional<claim_vote>& local)
{
    const claim_answer answer{.vote = local};
    claim_step step;
    for (auto& it : groups_)
    {
        if (it.group.local)
            count(it, answer);
    }
    for (const auto& it : groups_)
        ask_first(it, step);
    if (local && (*local)->verdict != claim_verdict::granted)
    {
        for (const auto& it : groups_)
            ask(it, it.group.local ? 1 : 0, step);
    }
    return finish(std::move(step));
}

claim_step claim_poll::add(const endpoint& replica, const claim_answer& answer)
{
    pending_.erase(replica);
    claim_step step;
    for (auto& it : groups_)
    {
        if (!has(it, replica))
            continue;
        count(it, answer);
        ask_after(it, answer, step);
    }
    return finish(std::move(step));
}

claim_step claim_poll::pass_over_silent()
{
    const auto silent = pending_;
    claim_step step;
    for (const auto& it : groups_)
    {
        const auto n = std::count_if(silent.begin(), silent.end(),
                                     [&](const endpoint& replica)
                                     { return has(it, replica); });
        ask(it, static_cast<std::size_t>(n), step);
    }
    return finish(std::move(step));
}

const std::set<endpoint>& claim_poll::pending() const noexcept
{
    return pending_;
}

bool claim_poll::has(const group_poll& it, const endpoint& replica)
{
    const auto& others = it.group.others;
    return std::find(others.begin(), others.end(), replica) != others.end();
}

void claim_poll::count(group_poll& it, const claim_answer& answer)
{
    const auto outcome =
        answer.gone ? it.tally.add_gone() : it.tally.add(answer.vote);
    if (outcome)
        it.outcome = outcome;
}

// A release goes to every replica, because any of them may have recorded the
// claim.
std::size_t claim_poll::first_asked(const group_poll& it) const noexcept
{
    const auto others = it.group.others.size();
    if (release_)
        return others;
    const std::size_t local = it.group.local ? 1 : 0;
    return (others + local) / 2 + 1 - local;
}

bool claim_poll::awaits(const group_poll& it) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](const endpoint& replica)
                       { return has(it, replica); });
}

// Asks the replicas that suffice for a majority if all of them grant. Those
// already asked for another group are not asked again.
void claim_poll::ask_first(const group_poll& it, claim_step& step)
{
    if (it.outcome)
        return;
    for (std::size_t n = 0; n < first_asked(it); ++n)
        ask(it.group.others[n], step);
}

// Asks up to `count` more replicas of the group.
void claim_poll::ask(const group_poll& it, std::size_t count, claim_step& step)
{
    if (it.outcome)
        return;
    for (const auto& replica : it.group.others)
    {
        if (count == 0)
            return;
        if (ask(replica, step))
            --count;
    }
}

bool claim_poll::ask(const endpoint& replica, claim_step& step)
{
    if (!asked_.insert(replica).second)
        return false;
    pending_.insert(replica);
    step.ask.push_back(replica);
    return true;
}

// If all replicas asked so far have granted the claim and the group is still
// undecided, their rounds differ. The remaining replicas may complete a
// majority for one round; otherwise the holder needs another round trip to
// confirm it.
void claim_poll::ask_after(const group_poll& it, const claim_answer& answer,
                           claim_step& step)
{
    const bool granted =
        answer.vote && (*answer.vote)->verdict == claim_verdict::granted;
    if (!granted)
        return ask(it, 1, step);
    if (!awaits(it))
        ask(it, it.group.others.size(), step);
}

claim_step claim_poll::finish(claim_step step)
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
        all = all ? join(*all, *it.outcome) : *it.outcome;
    }
    if (open)
        return step;
    decided_ = true;
    return {.ask = {}, .outcome = all};
}

} // namespace lagoonquay
