// Stops of runs that this entry may not let go on: another entry may start
// their tasks.
#include "entry_job.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

} // namespace

std::string_view to_text(job_stage stage) noexcept
{
    switch (stage)
    {
    case job_stage::claiming:
        return "claiming";
    case job_stage::adopting:
        return "adopting";
    case job_stage::running:
        return "running";
    case job_stage::forwarded:
        return "forwarded";
    }
    return "unknown";
}

std::vector<unanswered_job> entry_service::unanswered_jobs(std::size_t most)
{
    const auto now = hooks_.now();
    const auto stop_at = stop_signal_at();
    std::vector<unanswered_job> found;
    for (const auto& state : open_jobs())
    {
        if (found.size() >= most)
            break;
        with_job(state,
                 [&](const job_state& it)
                 {
                     found.push_back({.submission = it.id,
                                      .stage = to_text(it.stage),
                                      .age = now - it.accepted,
                                      .accepted_after_stop =
                                          it.accepted - stop_at.value_or(now),
                                      .time_left = it.deadline - now,
                                      .dispatched = it.run.dispatched().size(),
                                      .waiters = it.waiters.size()});
                 });
    }
    return found;
}

// The runs of a task that must not be repeated go on: no other entry starts it
// again.
std::vector<attempt_key> entry_service::stoppable_runs(const job_state& state)
{
    return state.submitted->idempotent ? state.run.dispatched()
                                       : std::vector<attempt_key>();
}

// An agent whose link is lost stops these runs itself, since no entry asks for
// them within its grace period.
void entry_service::give_up_runs(const job_pointer& state,
                                 const std::vector<attempt_key>& runs)
{
    if (runs.empty())
        return;
    write_event(log_level::info, part, state->id, "runs_given_up",
                {{"tasks", static_cast<std::int64_t>(runs.size())}});
    for (const auto& key : runs)
        dispatcher_.agents().send(
            key.agent, cancel_message{state->id, key, /*given_up=*/true});
}

// An entry that adopts the job can't ask agents out of its reach, and starts
// their tasks again once its wait for them is over. The stopped tasks wait here
// for a renewal of the claim.
void entry_service::stop_lapsed(instant now)
{
    for (const auto& state : open_jobs())
    {
        std::vector<attempt_key> runs;
        with_job(state,
                 [&](job_state& it)
                 {
                     const bool claimed = it.stage == job_stage::running ||
                                          it.stage == job_stage::adopting;
                     if (!claimed || it.lapsed ||
                         now < it.claim_end + options_.lapse_timeout)
                         return;
                     it.lapsed = true;
                     runs = stoppable_runs(it);
                 });
        give_up_runs(state, runs);
    }
}

void entry_service::answer_rest()
{
    for (const auto& state : open_jobs())
    {
        if (!hand_back(state))
            give_up(state);
    }
}

// A job that another entry holds, or held, may run or have run there.
// Requires the lock of the job's shard.
bool entry_service::is_untouched(const job_state& it)
{
    const bool new_here =
        it.stage == job_stage::claiming || it.stage == job_stage::running;
    return new_here && !it.needs_adoption && it.holder_address.empty() &&
           it.earlier_agents.empty() && it.run.untouched();
}

// Removes the job in the same step, so that nothing of it is dispatched. The
// next entry need not wait for the lease.
//! @return whether nothing of the job was sent to an agent.
bool entry_service::hand_back(const job_pointer& state)
{
    const auto answer = refusal(state->id, failure_reason::draining,
                                effect::unknown, "this entry stops");
    std::vector<answer_hook> waiters;
    std::optional<claim_request> release;
    jobs_.with_shard(state->id,
                     [&](auto& values)
                     {
                         const auto it = values.find(state->id);
                         if (it == values.end() || it->second != state ||
                             state->answer || !is_untouched(*state))
                             return;
                         release = release_request(*state);
                         state->answer = answer;
                         waiters = std::move(state->waiters);
                         values.erase(it);
                     });
    if (!release)
        return false;
    hooks_.claim(*release, [](const claim_outcome&) {});
    log_refusal(answer);
    remove_open(state);
    ++failed_;
    answers_by_reason_.add(answer->reason);
    for (const auto& it : waiters)
        it(answer);
    return true;
}

// Not recorded as closed: the caller may send the job again, and the entry that
// adopts it asks the agents. A run that went on would then run beside the one
// started there.
void entry_service::give_up(const job_pointer& state)
{
    std::vector<attempt_key> runs;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer || it.closing)
                     return;
                 runs = stoppable_runs(it);
                 it.run.abandon(failure_reason::draining, "this entry stops",
                                effect::unknown);
             });
    give_up_runs(state, runs);
    std::optional<job_answer> answer;
    with_job(state,
             [&](const job_state& it)
             {
                 if (it.run.finished())
                     answer = it.run.answer();
             });
    if (answer)
        publish(state, with_unknown_effects(*answer));
}

} // namespace lagoonquay
