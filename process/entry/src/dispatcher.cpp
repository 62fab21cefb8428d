#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/decision_log.hpp"

#include "lagoonquay/connection/message_link.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

//! How long an agent is reserved for one task before the agent is chosen anew.
constexpr duration reservation_period = std::chrono::seconds(5);

// Only failures that a broken worker can cause count against its health.
bool counts_against_worker(const task_result& result) noexcept
{
    return result->reason == failure_reason::upstream_failed ||
           result->reason == failure_reason::upstream_unreachable;
}

bool is_served(const queued_task& queued,
               const std::vector<route_candidate>& candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const route_candidate& it)
                       { return serves(it.service, queued.request.service); });
}

// The agent sees how long the task has waited there only, so that it gets the
// aged priority: otherwise a task that has waited for long would be returned
// each time that urgent ones are at the agent. An aged task counts as due now
// at the earliest: one that is long overdue would go ahead of all urgent ones.
// A start time that has passed must not turn into none.
void set_urgency(dispatch_message& of, const queued_task& next,
                 const taken_credit& credit, instant now)
{
    constexpr instant earliest{duration(1)};
    const auto level = level_of(next.priority);
    of.priority = aged_priority(level, now - next.since);
    const bool aged = of.priority < level;
    const auto start_by = aged ? std::max(next.start_by, now) : next.start_by;
    of.start_by = std::max(to_agent_time(credit, start_by), earliest);
    of.expected_run = next.expected_run;
}

//! Logs which agent a task is sent to, and the age of that agent's last grant.
void log_placed(const queued_task& next, const route_candidate& chosen,
                const taken_credit& credit, attempt_number attempt, instant now)
{
    write_event(
        log_level::info, "entry", next.key.submission, "placed",
        {{"task", static_cast<std::int64_t>(next.key.index.number())},
         {"attempt", static_cast<std::int64_t>(attempt.number())},
         {"agent", chosen.agent.text()},
         {"free_milli", std::int64_t{chosen.free.processors_milli}},
         {"priority", std::int64_t{next.priority}},
         {"waited_ms", milliseconds_of(now - next.since)},
         {"news_age_ms", milliseconds_of(now - credit.grant_received_at)}});
}

} // namespace

dispatcher::dispatcher(dispatcher_hooks hooks, dispatcher_options options)
    : hooks_(std::move(hooks)), options_(options), queue_(hooks_.weight),
      retries_(options_.retries, hooks_.draw), runs_(options_.runs)
{
}

void dispatcher::enqueue(const std::vector<task_to_queue>& job_tasks)
{
    if (job_tasks.empty())
        return;
    const auto now = hooks_.now();
    std::vector<queued_task> tasks;
    tasks.reserve(job_tasks.size());
    for (const auto& it : job_tasks)
        tasks.push_back(to_queued(it, now));
    set_start_by(tasks, job_tasks.front());
    for (auto& it : tasks)
        queue_.push(std::move(it));
    tasks_added_ = true;
}

void dispatcher::enqueue_again(const task_to_queue& added,
                               const agent_id& declined, std::uint32_t moves)
{
    const auto delay = retries_.charge_move(added.customer, moves);
    const auto now = hooks_.now();
    std::vector<queued_task> queued{to_queued(added, now)};
    set_start_by(queued, added);
    queued.front().request.avoid = declined;
    if (delay == duration::zero())
    {
        queue_.push(std::move(queued.front()));
        tasks_added_ = true;
        return;
    }
    const std::lock_guard lock(delayed_mutex_);
    delayed_.emplace(now + delay, std::move(queued.front()));
}

void dispatcher::enqueue_returned(const task_to_queue& added,
                                  const agent_id& full)
{
    std::vector<queued_task> queued{to_queued(added, added.accepted)};
    set_start_by(queued, added);
    queued.front().request.avoid = full;
    queue_.push(std::move(queued.front()));
    tasks_added_ = true;
}

void dispatcher::pump()
{
    tasks_added_ = false;
    run_passes(std::nullopt);
}

// No waiting task fitted another agent in the last pass over all agents. What
// changes with time alone, as the end of a quarantine, is found by tick().
void dispatcher::pump(const agent_id& changed)
{
    if (tasks_added_)
        return pump();
    run_passes(changed);
}

// Several threads may pump at once. A credit that arrives during a pass raises
// the epoch, so that another pass runs and no credit is left unused.
void dispatcher::run_passes(const std::optional<agent_id>& only)
{
    for (;;)
    {
        const auto epoch = credit_epoch_.load();
        if (queue_.size() == 0)
            return;
        const bool emptied = agents_.any_credit() && run_pass(only);
        if (emptied || epoch == credit_epoch_.load())
            return;
    }
}

void dispatcher::tick()
{
    const auto now = hooks_.now();
    std::vector<queued_task> due;
    {
        const std::lock_guard lock(delayed_mutex_);
        const auto end = delayed_.upper_bound(now);
        for (auto it = delayed_.begin(); it != end; ++it)
            due.push_back(std::move(it->second));
        delayed_.erase(delayed_.begin(), end);
    }
    for (auto& it : due)
        queue_.push(std::move(it));
    pump();
}

void dispatcher::update(const agent_id& agent, const grant_message& grant,
                        instant now)
{
    agents_.update(agent, grant, now);
    ++credit_epoch_;
}

void dispatcher::finish(const agent_id& agent, const result_message& result)
{
    const auto ended = agents_.release(agent, result);
    ++credit_epoch_;
    if (ended)
        record_result(agent, *ended, result);
}

queue_load dispatcher::load_of(const customer_id& customer,
                               const service_id& service,
                               std::uint32_t priority)
{
    return queue_.load_of(customer, service, priority);
}

bool dispatcher::has_reserved_agent()
{
    return current_reservation(hooks_.now()).has_value();
}

agent_table& dispatcher::agents() noexcept
{
    return agents_;
}

run_times& dispatcher::runs() noexcept
{
    return runs_;
}

std::size_t dispatcher::queued() const noexcept
{
    return queue_.size();
}

std::uint64_t dispatcher::dispatched() const noexcept
{
    return dispatched_;
}

latency_summary dispatcher::waits() const
{
    return waits_.summary();
}

queued_task dispatcher::to_queued(const task_to_queue& added, instant since)
{
    return {
        .customer = added.customer,
        .key = added.key,
        .kind = added.kind,
        .priority = added.priority,
        .request = {.need = added.need, .avoid = {}, .service = added.service},
        .expected_run = runs_.expect(added.kind, added.declared_run),
        .start_by = added.deadline,
        .since = since};
}

// A job is due after a multiple of its run time, so that short and long jobs
// wait in proportion to it, and never later than its deadline. Within a job the
// longest task must start first.
void dispatcher::set_start_by(std::vector<queued_task>& queued,
                              const task_to_queue& of_job)
{
    duration longest{};
    duration work{};
    for (const auto& it : queued)
    {
        longest = std::max(longest, it.expected_run);
        work += it.expected_run;
    }
    const auto slots = std::max(agents_.usable_slots(of_job.service), 1U);
    const auto alone = std::max(longest, work / slots);
    const auto& aim = of_job.aim;
    const auto span = aim.stretch > 0 ? scale(longest, aim.stretch) + aim.target
                                      : options_.stretch * alone;
    for (auto& it : queued)
    {
        const auto due = std::min(it.start_by, of_job.accepted + span);
        it.start_by = due - it.expected_run;
    }
}

// Returns whether the queue was emptied. Tasks that fit no agent are skipped
// and put back at the end, so that they don't block the tasks behind them.
bool dispatcher::run_pass(const std::optional<agent_id>& only)
{
    queue_pass state;
    state.now = hooks_.now();
    state.lookahead = only ? options_.agent_lookahead : options_.lookahead;
    state.candidates = candidates(only, state.now);
    bool emptied = false;
    while (!state.candidates.empty())
    {
        auto next = queue_.pop(state.now, state.closed);
        emptied = !next;
        if (emptied)
            break;
        auto done = dispatch_one(*next, state);
        if (done == dispatch_outcome::stale)
        {
            state.candidates = candidates(only, state.now);
            done = dispatch_one(*next, state);
        }
        if (done != dispatch_outcome::no_room &&
            done != dispatch_outcome::stale)
            continue;
        skip(*std::move(next), state);
        // If not even a task without needs fits, no other task can fit.
        if (!hooks_.route({}, state.candidates))
            break;
        reserve_agent_for(state.skipped.back(), state.now);
    }
    emptied = emptied && state.skipped.empty();
    for (auto& it : state.skipped)
    {
        if (!hooks_.waiting(it.key))
        {
            drop_reservation(it.key);
            continue;
        }
        queue_.undo_pop(std::move(it));
    }
    return emptied;
}

// Tasks of a service without a free worker must not hold up those of others,
// nor urgent tasks that fit no agent those of other priorities.
void dispatcher::skip(queued_task passed_over, queue_pass& state) const
{
    const auto level = level_of(passed_over.priority);
    auto& count = state.counts[level];
    ++count.all;
    count.unserved += is_served(passed_over, state.candidates) ? 0 : 1;
    if (count.all - count.unserved >= state.lookahead ||
        count.unserved >= options_.unserved_lookahead)
        state.closed.set(level);
    state.skipped.push_back(std::move(passed_over));
}

std::vector<route_candidate>
dispatcher::candidates(const std::optional<agent_id>& only, instant now)
{
    if (!only)
        return agents_.candidates(now);
    auto found = agents_.candidate(*only, now);
    if (!found)
        return {};
    return {*std::move(found)};
}

dispatcher::dispatch_outcome dispatcher::dispatch_one(const queued_task& next,
                                                      queue_pass& state)
{
    const auto chosen = choose(next, state);
    if (!chosen)
        return dispatch_outcome::no_room;
    auto& agent = state.candidates[*chosen];
    const auto credit = agents_.take(agent.agent, state.now);
    if (!credit)
        return dispatch_outcome::stale;
    auto message = hooks_.begin(next.key, agent.agent, *credit);
    if (!message)
    {
        agents_.undo_take(agent.agent);
        drop_reservation(next.key);
        return dispatch_outcome::gone;
    }
    set_urgency(*message, next, *credit, state.now);
    send(next, agent, *credit, *std::move(message));
    queue_.charge(next);
    if (agent.credits == 0)
    {
        std::swap(agent, state.candidates.back());
        state.candidates.pop_back();
    }
    return dispatch_outcome::sent;
}

// Leaves out an agent that is reserved for another task. A task that was
// declined may go back to the same agent if no other fits.
std::optional<std::size_t> dispatcher::choose(const queued_task& next,
                                              const queue_pass& state)
{
    const auto reserved = current_reservation(state.now);
    if (reserved && reserved->key != next.key)
    {
        auto others = state.candidates;
        for (auto& it : others)
            it.credits = it.agent == reserved->agent ? 0 : it.credits;
        return hooks_.route(next.request, others);
    }
    auto chosen = hooks_.route(next.request, state.candidates);
    if (chosen || !next.request.avoid)
        return chosen;
    auto anywhere = next.request;
    anywhere.avoid.reset();
    return hooks_.route(anywhere, state.candidates);
}

void dispatcher::send(const queued_task& next, route_candidate& chosen,
                      const taken_credit& credit, dispatch_message message)
{
    --chosen.credits;
    ++chosen.outstanding;
    chosen.free = subtract(chosen.free, next.request.need);
    agents_.begin(credit, message,
                  {next.customer, next.kind, next.request.need});
    retries_.add_for_dispatch(next.customer);
    drop_reservation(next.key);
    ++dispatched_;
    const auto now = hooks_.now();
    waits_.add(now - next.since);
    log_placed(next, chosen, credit, message.key.attempt, now);
    credit.link->send(std::move(message));
}

// Only one agent at a time is reserved, so that a large task doesn't starve and
// the other tasks lose no more than one worker.
void dispatcher::reserve_agent_for(const queued_task& next, instant now)
{
    if (now - next.since < options_.reserve_after || current_reservation(now))
        return;
    const auto agent = agents_.best_fit(next.request, now);
    if (!agent)
        return;
    const std::lock_guard lock(reservation_mutex_);
    reservation_ = reservation{next.key, *agent, now + reservation_period};
}

std::optional<dispatcher::reservation>
dispatcher::current_reservation(instant now)
{
    const std::lock_guard lock(reservation_mutex_);
    if (reservation_ && now >= reservation_->until)
        reservation_.reset();
    return reservation_;
}

void dispatcher::drop_reservation(const task_key& key)
{
    const std::lock_guard lock(reservation_mutex_);
    if (reservation_ && reservation_->key == key)
        reservation_.reset();
}

// Failures of a kind that fails at every worker don't count against the worker,
// so that such a kind can't put all workers in quarantine.
void dispatcher::record_result(const agent_id& agent,
                               const open_dispatch& ended,
                               const result_message& result)
{
    if (succeeded(result.result))
    {
        const auto expected = runs_.expect(ended.kind, result.ran_for);
        if (expected > duration::zero())
            agents_.observe_run(agent,
                                static_cast<double>(result.ran_for.count()) /
                                    static_cast<double>(expected.count()));
        runs_.observe(ended.kind, result.ran_for);
        return agents_.observe(agent, true, hooks_.now());
    }
    if (!counts_against_worker(result.result))
        return;
    runs_.observe_failure(ended.kind);
    if (!runs_.mostly_fails(ended.kind))
        agents_.observe(agent, false, hooks_.now());
}

} // namespace lagoonquay
