// Answers of an entry's jobs.
#include "entry_job.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! Time between two removals of answers whose retention has passed.
constexpr duration expiry_period = std::chrono::seconds(1);

bool has_task_not_run(const job_answer& answer)
{
    const auto not_run = [](const task_result& it)
    {
        return it->ran == effect::not_run;
    };
    return !succeeded(answer) && std::any_of(answer->failures.begin(),
                                             answer->failures.end(), not_run);
}

} // namespace

// Downgrades "not run" to "unknown". Without a record in the ledger, an entry
// that adopts the job may still run these tasks.
job_answer with_unknown_effects(const job_answer& answer)
{
    return answer.with(
        [](job_answer_options& it)
        {
            it.ran = std::max(it.ran, effect::unknown);
            for (auto& failure : it.failures)
            {
                failure = failure.with(
                    [](task_result_options& of)
                    { of.ran = std::max(of.ran, effect::unknown); });
            }
        });
}

// A waiting task has not run under this claim, and the adoption has proved that
// it did not run under an earlier one. Once the claim has expired, another
// entry may have started it.
effect entry_service::waiting_effect(const job_state& state, instant now) const
{
    const bool proved = state.stage == job_stage::running &&
                        now + options_.claim_margin < state.claim_end;
    return proved ? effect::not_run : effect::unknown;
}

// A failure that reports a task as "not run" is first recorded at a quorum of
// ledger replicas, so that no resubmission through another entry runs it later.
void entry_service::finish_if_complete(const job_pointer& state)
{
    std::optional<job_answer> answer;
    std::optional<claim_request> close;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer || it.closing || !it.run.finished())
                     return;
                 answer = it.run.answer();
                 if (!has_task_not_run(*answer))
                     return;
                 it.closing = true;
                 auto options = request_for(it);
                 options.close = true;
                 close = claim_request(std::move(options));
             });
    if (close)
        return close_claim(state, *close, *answer);
    if (answer)
        publish(state, *answer);
}

void entry_service::close_claim(const job_pointer& state,
                                const claim_request& asked,
                                const job_answer& answer)
{
    hooks_.claim(
        asked,
        [this, state, round = asked->round,
         answer](const claim_outcome& outcome)
        {
            const bool closed = outcome->status == claim_status::held &&
                                outcome->confirmed && outcome->round == round;
            publish(state, closed ? answer : with_unknown_effects(answer));
        });
}

void entry_service::publish(const job_pointer& state, const job_answer& answer)
{
    std::vector<answer_hook> waiters;
    bool fresh = false;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer)
                     return;
                 fresh = true;
                 it.answer = answer;
                 it.answered_at = hooks_.now();
                 waiters = std::move(it.waiters);
             });
    if (!fresh)
        return;
    remove_open(state);
    ++(succeeded(answer) ? completed_ : failed_);
    answers_by_reason_.add(answer->reason);
    log_answered(state, answer, "entry");
    for (const auto& it : waiters)
        it(answer);
}

//! @param by  the source of the answer: this entry or the claim's holder.
void entry_service::log_answered(const job_pointer& state,
                                 const job_answer& answer,
                                 std::string_view by) const
{
    write_event(log_level::info, part, state->id, "answered",
                {{"outcome", succeeded(answer) ? "complete" : "failed"},
                 {"reason", to_text(answer->reason)},
                 {"ran", to_text(answer->ran)},
                 {"after_ms", milliseconds_of(hooks_.now() - state->accepted)},
                 {"by", by},
                 {"detail", answer->detail}});
}

void entry_service::refuse(const job_pointer& state, const job_answer& answer)
{
    log_refusal(answer);
    answer_and_remove(state, answer);
}

// Answers a job whose claim this entry does not hold, with the holder's answer
// or a refusal. The job is removed, so that a resubmission claims it anew.
void entry_service::answer_and_remove(const job_pointer& state,
                                      const job_answer& answer)
{
    std::vector<answer_hook> waiters;
    bool known = false;
    jobs_.with_shard(state->id,
                     [&](auto& values)
                     {
                         const auto it = values.find(state->id);
                         if (it == values.end() || it->second != state ||
                             state->answer)
                             return;
                         known = true;
                         state->answer = answer;
                         waiters = std::move(state->waiters);
                         values.erase(it);
                     });
    if (!known)
        return;
    remove_open(state);
    ++(succeeded(answer) ? completed_ : failed_);
    answers_by_reason_.add(answer->reason);
    for (const auto& it : waiters)
        it(answer);
}

// The caller may send the job again, to any entry, once it is told that its
// time is over. A run that went on would then run beside the one started there.
void entry_service::expire_jobs(instant now)
{
    std::vector<job_pointer> late;
    for (const auto& state : open_jobs())
    {
        if (now < state->deadline)
            continue;
        std::vector<attempt_key> runs;
        with_job(state,
                 [&](job_state& it)
                 {
                     if (it.answer)
                         return;
                     const bool lapsed =
                         it.stage == job_stage::running && now >= it.claim_end;
                     runs = stoppable_runs(it);
                     it.run.abandon(lapsed ? failure_reason::ledger_unavailable
                                           : failure_reason::deadline,
                                    lapsed
                                        ? "the claim ran out and could not be "
                                          "renewed before the deadline"
                                        : "the deadline passed",
                                    waiting_effect(it, now));
                     late.push_back(state);
                 });
        give_up_runs(state, runs);
    }
    for (const auto& it : late)
        finish_if_complete(it);
}

void entry_service::expire_answers(instant now)
{
    if (now - answers_expired_at_ < expiry_period)
        return;
    answers_expired_at_ = now;
    jobs_.for_each_shard(
        [&](auto& values)
        {
            std::erase_if(values,
                          [&](const auto& it)
                          {
                              const auto& found = *it.second;
                              return found.answer &&
                                     now - found.answered_at >
                                         options_.answer_retention;
                          });
        });
}

} // namespace lagoonquay
