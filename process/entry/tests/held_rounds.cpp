#include "held_rounds.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// Time after the end of a claim until its holder stops the runs under it
// (entry_options::lapse_timeout). Until then nobody else may have its round.
constexpr duration lapse_timeout = std::chrono::seconds(1);

std::string describe(const held_round& it)
{
    return "entry " + std::to_string(it.entry) + " (run " +
           std::to_string(it.run.number()) + ") in round " +
           std::to_string(it.round.number()) + " until " +
           std::to_string(it.valid_until.time_since_epoch().count()) + " us";
}

} // namespace

held_rounds::held_rounds(held_rounds_hooks hooks) : hooks_(std::move(hooks))
{
}

void held_rounds::on_request(const claim_request& asked)
{
    if (asked->release)
        drop(asked->submission, asked->holder_run);
}

// A holder that asks again for its round, to confirm or to renew it, holds it
// if a quorum has just that round. Another round says that it lost the claim.
void held_rounds::on_outcome(std::size_t entry, const claim_request& asked,
                             const claim_outcome& outcome)
{
    if (asked->submission.empty() || asked->release || asked->lookup ||
        asked->close)
        return;
    const bool first = asked->round == claim_round();
    if (outcome->status != claim_status::held)
    {
        if (outcome->status != claim_status::held_by_other)
            return;
        counts_.lost += first ? 0 : 1;
        return drop(asked->submission, asked->holder_run);
    }
    if (!first && outcome->round != asked->round)
    {
        ++counts_.lost;
        return drop(asked->submission, asked->holder_run);
    }
    if (!outcome->confirmed)
        return;
    hold(asked->submission, {.entry = entry,
                             .run = asked->holder_run,
                             .round = outcome->round,
                             .valid_until = outcome->valid_until});
}

const held_round_counts& held_rounds::counts() const noexcept
{
    return counts_;
}

void held_rounds::hold(const submission_id& submission, const held_round& held)
{
    if (!hooks_.is_open(held, submission))
        return;
    auto& all = held_[submission];
    for (const auto& it : all)
    {
        if (it.run != held.run && hooks_.is_open(it, submission))
            check(submission, held, it);
    }
    const auto own =
        std::find_if(all.begin(), all.end(),
                     [&](const held_round& it) { return it.run == held.run; });
    if (own != all.end() && own->round == held.round)
    {
        ++counts_.renewed;
        own->valid_until = std::max(own->valid_until, held.valid_until);
        return;
    }
    ++(held.round == claim_round(1) ? counts_.first : counts_.later);
    drop(submission, held.run);
    held_[submission].push_back(held);
}

void held_rounds::check(const submission_id& submission, const held_round& held,
                        const held_round& other) const
{
    const auto now = hooks_.now();
    if (now >= held.valid_until)
        return;
    const bool same = held.round == other.round;
    if (now < other.valid_until)
        hooks_.on_violation(submission,
                            std::string(same ? "one round" : "job") +
                                " held twice: " + describe(other) + ", " +
                                describe(held));
    else if (same && now < other.valid_until + lapse_timeout)
        hooks_.on_violation(submission,
                            "round given again while its runs may go on: " +
                                describe(other) + ", " + describe(held));
}

void held_rounds::drop(const submission_id& submission, incarnation run)
{
    const auto found = held_.find(submission);
    if (found != held_.end())
        std::erase_if(found->second,
                      [&](const held_round& it) { return it.run == run; });
}

} // namespace lagoonquay
