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
        bool untouched = false;
        with_job(state,
                 [&](const job_state& it)
                 {
                     const bool unclaimed = it.stage == job_stage::claiming ||
                                            it.stage == job_stage::forwarded;
                     untouched = unclaimed || (it.stage == job_stage::running &&
                                               it.earlier_agents.empty() &&
                                               it.run.untouched());
                 });
        if (untouched)
            hand_back(state);
        else
            give_up(state);
    }
}

// The next entry need not wait for the lease.
void entry_service::hand_back(const job_pointer& state)
{
    release_claim(state);
    refuse(state, refusal(state->id, failure_reason::draining, effect::unknown,
                          "this entry stops; nothing of the job was started "
                          "here"));
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
