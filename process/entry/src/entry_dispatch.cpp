// Queueing and dispatch of an entry's tasks, and their results.
#include "entry_job.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

// A task may move to another agent only if its attempt is proved never to
// start.
bool may_move(const task_result& result) noexcept
{
    const bool declined =
        result->reason == failure_reason::no_permit ||
        result->reason == failure_reason::not_startable ||
        result->reason == failure_reason::no_room ||
        result->reason == failure_reason::draining ||
        result->reason == failure_reason::upstream_unreachable;
    return declined && result->ran == effect::not_run;
}

// @return whether the upstream ran the task and reported its failure.
bool ran_and_failed(const task_result& result) noexcept
{
    return result->reason == failure_reason::upstream_failed &&
           result->ran == effect::ran;
}

task_result cancelled_result(task_index index)
{
    return task_result({.index = index,
                        .reason = failure_reason::cancelled,
                        .ran = effect::not_run,
                        .body = {},
                        .detail = "cancelled before its start"});
}

} // namespace

task_to_queue entry_service::describe_task(const job_state& state,
                                           task_index index)
{
    const auto& submitted = state.submitted;
    const auto& work = submitted->tasks[index.number()];
    return {.customer = submitted->customer,
            .key = {submitted->submission, index},
            .kind = work->kind,
            .priority = submitted->priority,
            .need = work->need,
            .service = submitted->service,
            .declared_run = work->declared_run,
            .accepted = state.accepted,
            .deadline = state.deadline,
            .aim = submitted->aim};
}

void entry_service::enqueue_waiting(const job_pointer& state)
{
    std::vector<task_index> tasks;
    with_job(state,
             [&](job_state& it)
             {
                 for (const auto& index : it.run.waiting())
                 {
                     if (it.cancelled)
                         it.run.finish_waiting(index, failure_reason::cancelled,
                                               "cancelled by the caller");
                     else if (!it.held_tasks.contains(index))
                         tasks.push_back(index);
                 }
             });
    enqueue(*state, tasks);
    finish_if_complete(state);
    dispatcher_.pump();
}

void entry_service::enqueue(const job_state& state,
                            const std::vector<task_index>& tasks)
{
    std::vector<task_to_queue> queued;
    queued.reserve(tasks.size());
    for (const auto& it : tasks)
        queued.push_back(describe_task(state, it));
    dispatcher_.enqueue(queued);
}

// Prefers another agent than the one that returned the task.
void entry_service::enqueue_again(const job_state& state,
                                  const attempt_key& key, failure_reason reason)
{
    const auto moved = describe_task(state, key.index);
    if (reason == failure_reason::no_room)
        return dispatcher_.enqueue_returned(moved, key.agent);
    const auto moves = key.attempt.number() % attempts_per_round;
    dispatcher_.enqueue_again(moved, key.agent,
                              static_cast<std::uint32_t>(moves));
}

bool entry_service::is_waiting(const task_key& key)
{
    return jobs_.with(
        key.submission, [&](auto* it)
        { return it != nullptr && (*it)->may_dispatch(key.index); });
}

// An attempt starts neither after the claim's end nor after the time at which
// it may be given up if its link is lost now. One that may then start elsewhere
// has to be over by that time: an agent that was frozen starts what had waited
// there, and stops it only once its own grace period is over. So no start of it
// is sent later, and a run of one without an answer has ended by the
// agent's `late_run_time` after that. An entry that adopts the job queries only
// the agents in the claim's reach, so a task for any other agent waits for a
// renewal that adds the agent. Tasks that wait for a renewal leave the queue.
std::optional<dispatch_message>
entry_service::begin_dispatch(const task_key& key, const agent_id& agent,
                              const taken_credit& credit)
{
    const auto now = hooks_.now();
    const agent_run_id target{agent, credit.agent_run};
    job_pointer widen;
    auto message = jobs_.with(
        key.submission,
        [&](auto* found) -> std::optional<dispatch_message>
        {
            if (found == nullptr)
                return std::nullopt;
            auto& it = **found;
            if (!it.may_dispatch(key.index) || it.stage != job_stage::running ||
                now >= it.deadline)
                return std::nullopt;
            if (!it.reach.contains(target))
            {
                it.agents_to_add.insert(target);
                it.has_parked_tasks = true;
                widen = *found;
                return std::nullopt;
            }
            if (now + options_.claim_margin >= it.claim_end)
            {
                it.has_parked_tasks = true;
                return std::nullopt;
            }
            const auto reconnect_deadline =
                now + options_.reconnect_timeout -
                (it.submitted->idempotent ? options_.orphan_run_time
                                          : duration::zero());
            const auto last_start = std::min(it.claim_end, reconnect_deadline);
            const bool tells = credit.late_run_time != duration::zero();
            const attempt_start start{tells ? start_answer::unanswered
                                            : start_answer::untold,
                                      last_start + credit.late_run_time};
            dispatch_message result;
            result.submission = key.submission;
            result.key =
                it.run.dispatch(key.index, agent, credit.agent_run, start);
            result.start_before =
                to_agent_time(credit, last_start) - options_.claim_margin;
            result.run_limit = it.deadline - now;
            result.repeatable = it.submitted->idempotent;
            result.service = it.submitted->service;
            result.work = it.submitted->tasks[key.index.number()];
            return result;
        });
    if (widen)
        renew(widen);
    return message;
}

void entry_service::on_result(const agent_id& agent, const result_message& it)
{
    const auto state = find(it.submission);
    const bool counted =
        state && record_result(state, it.key, it.result, attempt_end::reported);
    dispatcher_.finish(agent, it);
    if (!counted)
        ++dropped_;
}

// An idempotent task whose run has an unknown outcome may run again.
bool entry_service::grant_retry(const job_pointer& state,
                                const task_result& result) const
{
    const bool wanted = state->submitted->idempotent &&
                        result->ran == effect::unknown &&
                        hooks_.now() < state->deadline;
    if (!wanted)
        return false;
    return !hooks_.retry || hooks_.retry(state->submitted->customer);
}

// The customer's budget is charged only for a result that can count; one that
// comes again is dropped. @return false if the key is not a current attempt.
bool entry_service::record_result(const job_pointer& state,
                                  const attempt_key& key,
                                  const task_result& result, attempt_end how)
{
    bool is_current = false;
    with_job(state,
             [&](const job_state& it)
             {
                 is_current = it.run.current(key.index) == key &&
                              !it.run.is_waiting(key.index);
             });
    const bool retry = is_current && grant_retry(state, result);
    bool counted = false;
    bool again = false;
    bool retried = false;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer)
                     return;
                 const bool within =
                     hooks_.retry || it.retries < it.submitted->tasks.size();
                 retried = retry && within && !it.cancelled;
                 const bool move = may_move(result);
                 // While a job is adopted, another agent may yet tell that a
                 // later attempt ran.
                 if (move && it.cancelled && it.stage == job_stage::running)
                     counted = it.run.record(key, cancelled_result(key.index));
                 else if (move)
                     again = counted = it.run.requeue(key);
                 else if (retried)
                     again = counted = it.run.retry(key, how);
                 else if (ran_and_failed(result) && !it.cancelled &&
                          it.run.retry_failed(key))
                     again = counted = retried = true;
                 else
                     counted = it.run.record(key, result);
                 retried = retried && counted && !move;
                 it.retries += retried ? 1 : 0;
                 again = again && it.stage == job_stage::running;
             });
    if (counted && !succeeded(result))
        write_event(
            log_level::info, "entry", state->id, "task_ended",
            {{"task", static_cast<std::int64_t>(key.index.number())},
             {"attempt", static_cast<std::int64_t>(key.attempt.number())},
             {"agent", key.agent.text()},
             {"agent_run", std::to_string(key.agent_run.number())},
             {"reason", to_text(result->reason)},
             {"ran", to_text(result->ran)},
             {"then", again ? (retried ? "runs_again" : "moves") : "kept"}});
    if (again)
    {
        ++(retried ? retried_ : requeued_);
        enqueue_again(*state, key, result->reason);
    }
    finish_if_complete(state);
    return counted;
}

} // namespace lagoonquay
