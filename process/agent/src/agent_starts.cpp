// Queueing, starting and declining of dispatched tasks.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/routing.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "agent";

std::string explain(start_verdict verdict)
{
    switch (verdict)
    {
    case start_verdict::start:
        return "started";
    case start_verdict::duplicate:
        return "the task has started before";
    case start_verdict::fenced:
        return "the start is forbidden";
    case start_verdict::claim_expired:
        return "the claim ran out";
    case start_verdict::wrong_agent_run:
        return "addressed to another run of the agent";
    }
    return {};
}

} // namespace

// A duplicate dispatch uses no second credit: if the task waits, its one result
// answers both; if it has started, the answer is its status. No task waits at a
// draining agent; the flag is read after the task is on the list, so that
// either drain() or this call finds and declines it.
void agent_service::on_dispatch(link_number link,
                                const dispatch_message& dispatch)
{
    {
        const std::lock_guard lock(grants_mutex_);
        slots_.note_received(link);
    }
    if (has_started(dispatch))
        return on_query(link, {dispatch.submission,
                               options_.run,
                               {{dispatch.key.index, dispatch.key.attempt}}});
    bool accepted = false;
    {
        const std::lock_guard lock(grants_mutex_);
        if (slots_.is_waiting(link, dispatch))
            return;
        accepted = slots_.accept(link, dispatch, hooks_.now());
    }
    if (!accepted)
        return decline(link, dispatch, failure_reason::not_startable,
                       "no credit");
    if (draining())
        decline_waiting();
    start_waiting();
}

bool agent_service::has_started(const dispatch_message& dispatch)
{
    auto& shard = shard_of(dispatch.submission);
    const std::lock_guard lock(shard.mutex);
    return shard.guard.started_attempt(
               {dispatch.submission, dispatch.key.index}) ==
           dispatch.key.attempt;
}

void agent_service::start_waiting()
{
    for (;;)
    {
        std::optional<waiting_start> next;
        {
            const std::lock_guard lock(grants_mutex_);
            next = slots_.next(hooks_.now());
        }
        if (!next)
            return;
        start_or_decline(*next);
    }
}

// The slot is taken first and the permit is read last, to keep the time between
// the permit check and the upstream call as short as possible. The worker may
// have changed its service since the entry chose it.
void agent_service::start_or_decline(const waiting_start& next)
{
    const auto& dispatch = next.message;
    const auto upstream = permitted_upstream();
    const bool served = upstream && serves(upstream->service, dispatch.service);
    auto verdict = start_verdict::fenced;
    if (served)
        verdict = try_start(next.link, dispatch);
    if (served && verdict == start_verdict::start)
        return run(next.link, dispatch, upstream->address);
    const auto credits = release_slot(next.link, dispatch.work->need);
    // The entry may have read the last clock stamp late, and would count every
    // claim as over here until the next one.
    if (verdict == start_verdict::claim_expired)
        send_grant({next.link, credits}, false);
    if (!upstream && draining())
        return decline(next.link, dispatch, failure_reason::draining,
                       "shutting down", credits);
    if (!upstream)
        return decline(next.link, dispatch, failure_reason::no_permit,
                       "no permit to start", credits);
    if (!served)
        return decline(next.link, dispatch, failure_reason::not_startable,
                       "the worker is of another service", credits);
    decline(next.link, dispatch, failure_reason::not_startable,
            explain(verdict), credits);
}

std::vector<waiting_start>
agent_service::take_waiting(const waiting_filter& chosen)
{
    const std::lock_guard lock(grants_mutex_);
    return slots_.take_waiting(chosen);
}

// The credits are returned with the answers.
void agent_service::decline_tasks(const std::vector<waiting_start>& waiting,
                                  failure_reason reason,
                                  const std::string& detail)
{
    for (const auto& it : waiting)
    {
        std::uint64_t credits = 0;
        {
            const std::lock_guard lock(grants_mutex_);
            credits = slots_.drop(it.link);
        }
        decline(it.link, it.message, reason, detail, credits);
    }
}

// An entry dispatches by load reports that may be stale, and another worker may
// be free by now. Only the entry receives the load reports of all its
// workers, so a task that gets no slot soon is returned to it.
void agent_service::return_overdue_tasks()
{
    const auto last = hooks_.now() - options_.queue_timeout;
    decline_tasks(take_waiting([last](const waiting_start& it)
                               { return it.since <= last; }),
                  failure_reason::no_room, "the worker stays full");
}

// Waiting tasks are returned as "not run", so that their entries dispatch them
// to other agents at once.
void agent_service::decline_waiting()
{
    decline_tasks(take_waiting([](const waiting_start&) { return true; }),
                  failure_reason::draining, "the agent is draining");
}

// The link is recorded under the same lock as the start, so that an immediate
// result is sent to it.
start_verdict agent_service::try_start(link_number link,
                                       const dispatch_message& dispatch)
{
    auto& shard = shard_of(dispatch.submission);
    const std::lock_guard lock(shard.mutex);
    const auto verdict = shard.guard.try_start(dispatch, hooks_.now());
    if (verdict == start_verdict::start)
    {
        const task_key key{dispatch.submission, dispatch.key.index};
        add_watcher(shard, key, link);
        shard.begun.erase(key);
        if (dispatch.repeatable)
            shard.repeatable[key] = dispatch.key.attempt;
    }
    return verdict;
}

void agent_service::run(link_number link, const dispatch_message& dispatch,
                        const endpoint& upstream)
{
    ++started_;
    write_event(
        log_level::info, part, dispatch.submission, "started",
        {{"task", static_cast<std::int64_t>(dispatch.key.index.number())},
         {"attempt", static_cast<std::int64_t>(dispatch.key.attempt.number())},
         {"need_milli", std::int64_t{dispatch.work->need.processors_milli}}});
    const upstream_call call{upstream,
                             dispatch.submission,
                             dispatch.key.index,
                             dispatch.key.attempt,
                             options_.run,
                             dispatch.work->payload,
                             dispatch.run_limit,
                             dispatch.repeatable ? dispatch.run_limit
                                                 : duration::zero()};
    hooks_.call_upstream(call, [this, link, dispatch, started = hooks_.now()](
                                   const task_result& result)
                         { on_result(link, dispatch, result, started); });
}

// The entries need it only if this agent is lost: a start that was accepted
// can't begin later. It is no answer to a query, which would fence starts.
void agent_service::on_begun(const submission_id& submission, task_index index,
                             attempt_number attempt)
{
    const task_key key{submission, index};
    std::set<link_number> watchers;
    {
        auto& shard = shard_of(submission);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.watchers.find(key);
        if (found == shard.watchers.end() ||
            shard.guard.started_attempt(key) != attempt)
            return;
        shard.begun[key] = attempt;
        watchers = found->second;
    }
    for (const auto& watcher : watchers)
        send(watcher, status_message{submission,
                                     options_.id,
                                     options_.run,
                                     {},
                                     {{{index, attempt}}}});
}

// A result whose links have all closed is kept by the guard and sent when an
// entry queries it. The credit is returned to the link that spent it.
void agent_service::on_result(link_number link,
                              const dispatch_message& dispatch,
                              const task_result& reported, instant started)
{
    std::set<link_number> watchers;
    auto result = reported;
    {
        const task_key key{dispatch.submission, dispatch.key.index};
        auto& shard = shard_of(dispatch.submission);
        const std::lock_guard lock(shard.mutex);
        if (shard.stopped_by_agent.contains(key))
            result = result_of_stopped_run(reported);
        const bool last =
            shard.guard.finish(key, dispatch.key.attempt, result, hooks_.now());
        const auto waiting = shard.watchers.find(key);
        if (waiting != shard.watchers.end())
            watchers = waiting->second;
        if (last)
        {
            runs_without_link_ -=
                waiting != shard.watchers.end() && watchers.empty();
            shard.watchers.erase(key);
            shard.orphans.erase(key);
            shard.stopped_by_agent.erase(key);
            shard.repeatable.erase(key);
            shard.begun.erase(key);
        }
    }
    const auto credits = release_slot(link, dispatch.work->need);
    const auto ran_for = hooks_.now() - started;
    write_event(
        log_level::info, part, dispatch.submission, "ended",
        {{"task", static_cast<std::int64_t>(dispatch.key.index.number())},
         {"reason", to_text(result->reason)},
         {"ran", to_text(result->ran)},
         {"ran_ms", milliseconds_of(ran_for)}});
    for (const auto& watcher : watchers)
    {
        const auto here = load(watcher);
        send(watcher, result_message{dispatch.submission, dispatch.key, result,
                                     watcher == link ? credits : 0, here.tasks,
                                     ran_for, here.needs, here.received});
    }
    ++finished_;
    start_waiting();
    send_changed_grants();
}

// The tombstone is set first: once the entry receives "not run", this attempt
// can never start here. If the task has started, the entry receives its status;
// if an earlier attempt was the one started, this one still returns its credit.
void agent_service::decline(link_number link, const dispatch_message& dispatch,
                            failure_reason reason, const std::string& detail,
                            std::uint64_t credits_total)
{
    ++declined_;
    declines_by_reason_.add(reason);
    const task_key key{dispatch.submission, dispatch.key.index};
    std::optional<attempt_number> started;
    {
        auto& shard = shard_of(dispatch.submission);
        const std::lock_guard lock(shard.mutex);
        shard.guard.forbid(key, dispatch.key.attempt, hooks_.now());
        started = shard.guard.started_attempt(key);
    }
    if (started)
        on_query(link, {dispatch.submission,
                        options_.run,
                        {{dispatch.key.index, dispatch.key.attempt}}});
    if (started && *started >= dispatch.key.attempt)
        return;
    write_event(
        log_level::info, part, dispatch.submission, "declined",
        {{"task", static_cast<std::int64_t>(dispatch.key.index.number())},
         {"reason", to_text(reason)},
         {"detail", detail}});
    send_not_run(link, dispatch, reason, detail, credits_total);
}

// A task that was addressed to another process of the agent may have started
// there, so its effect is unknown.
void agent_service::send_not_run(link_number link,
                                 const dispatch_message& dispatch,
                                 failure_reason reason,
                                 const std::string& detail,
                                 std::uint64_t credits_total)
{
    const bool never = dispatch.key.agent_run == options_.run;
    const task_result result({.index = dispatch.key.index,
                              .reason = reason,
                              .ran = never ? effect::not_run : effect::unknown,
                              .body = {},
                              .detail = detail});
    const auto here = load(link);
    send(link, result_message{dispatch.submission,
                              dispatch.key,
                              result,
                              credits_total,
                              here.tasks,
                              {},
                              here.needs,
                              here.received});
}

} // namespace lagoonquay
