// Recovery of tasks after the loss of a link, and what agents tell of them.
#include "entry_job.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! A query and its receiver, collected under a lock and sent without it.
struct outgoing_query
{
    agent_id agent;
    query_message message;
};

//! An item of a status, and what the entry made of it.
struct status_change
{
    status_item item;
    attempt_key before; //!< the current attempt until then
    report_outcome outcome = report_outcome::unchanged;
};

std::string_view to_text(start_state state)
{
    constexpr std::string_view names[] = {"not_started", "running", "finished"};
    return names[static_cast<std::size_t>(state)];
}

std::string_view to_text(report_outcome outcome)
{
    constexpr std::string_view names[] = {"unchanged", "confirmed", "adopted",
                                          "waits_again", "ignored"};
    return names[static_cast<std::size_t>(outcome)];
}

std::int64_t number_of(attempt_number attempt)
{
    return static_cast<std::int64_t>(attempt.number());
}

void log_change(const submission_id& submission, const agent_run_id& agent,
                const status_change& it)
{
    if (it.outcome == report_outcome::unchanged ||
        it.outcome == report_outcome::confirmed)
        return;
    write_event(log_level::info, part, submission, "status_applied",
                {{"task", static_cast<std::int64_t>(it.item.index.number())},
                 {"agent", agent.agent.text()},
                 {"agent_run", std::to_string(agent.run.number())},
                 {"attempt", number_of(it.item.attempt)},
                 {"state", to_text(it.item.state)},
                 {"forbidden", number_of(it.item.forbidden)},
                 {"before", number_of(it.before.attempt)},
                 {"outcome", to_text(it.outcome)}});
}

// @return what the status tells of the start of a running item.
attempt_start start_of(const status_message& status, const status_item& item,
                       instant now)
{
    if (!status.begun || status.late_run_time == duration::zero())
        return {};
    const begun_attempt wanted{item.index, item.attempt};
    const bool begun = std::find(status.begun->begin(), status.begun->end(),
                                 wanted) != status.begun->end();
    return {begun ? start_answer::begun : start_answer::unanswered,
            now + status.late_run_time};
}

task_result lost_result(const attempt_key& key)
{
    return task_result(
        {.index = key.index,
         .reason = failure_reason::link_lost,
         .ran = effect::unknown,
         .body = {},
         .detail = "agent " + key.agent.text() + " was lost with the task"});
}

// @return whether the status covers every task, and no task can start on the
// agent any more with an attempt below `base`. Only such a status counts for an
// adoption.
bool fences_earlier_attempts(const status_message& it, std::size_t tasks,
                             attempt_number base)
{
    const bool all =
        std::all_of(it.items.begin(), it.items.end(),
                    [&](const status_item& item) {
                        return item.attempt >= base ||
                               item.state != start_state::not_started;
                    });
    return all && it.items.size() == tasks;
}

} // namespace

// Queries an agent that has just been linked for every task it may have. The
// next loss of its link starts a new reconnect deadline.
void entry_service::query_agent(const agent_run_id& agent)
{
    std::vector<job_pointer> adopting;
    std::vector<outgoing_query> queries;
    for (const auto& state : open_jobs())
    {
        with_job(state,
                 [&](job_state& it)
                 {
                     it.reconnect_deadlines.erase(agent);
                     if (it.awaiting_status.contains(agent))
                     {
                         adopting.push_back(state);
                         return;
                     }
                     if (it.unheard_agents.contains(agent))
                     {
                         queries.push_back({agent.agent, query_for(it, agent)});
                         return;
                     }
                     query_message query{it.id, agent.run, {}};
                     for (const auto& key : it.run.dispatched())
                     {
                         if (key.agent != agent.agent ||
                             key.agent_run != agent.run)
                             continue;
                         query.items.push_back({key.index, key.attempt});
                     }
                     if (!query.items.empty())
                         queries.push_back({agent.agent, std::move(query)});
                 });
    }
    for (const auto& it : queries)
        dispatcher_.agents().send(it.agent, it.message);
    for (const auto& it : adopting)
        query_earlier_agents(it);
}

void entry_service::on_status(const agent_id& agent, const status_message& it)
{
    const auto state = find(it.submission);
    if (!state)
        return;
    const agent_run_id source{agent, it.agent_run};
    if (it.items.empty() && it.begun)
        return note_begun(state, source, *it.begun);
    const auto now = hooks_.now();
    std::vector<task_index> moved;
    std::vector<status_change> changes;
    with_job(state,
             [&](job_state& found)
             {
                 if (found.answer)
                     return;
                 for (const auto& item : it.items)
                 {
                     const auto before = found.run.current(item.index);
                     const auto outcome =
                         apply(found, source, item, start_of(it, item, now));
                     changes.push_back({item, before, outcome});
                     if (outcome == report_outcome::waits_again &&
                         !found.cancelled && found.stage == job_stage::running)
                         moved.push_back(item.index);
                 }
                 if (fences_earlier_attempts(it, found.submitted->tasks.size(),
                                             attempt_base(found.round)))
                 {
                     found.awaiting_status.erase(source);
                     found.unheard_agents.erase(source);
                 }
             });
    for (const auto& each : changes)
        log_change(state->id, source, each);
    requeued_ += moved.size();
    enqueue(*state, moved);
    record_finished(state, it);
    finish_adoption(state);
    release_held(state, now);
    finish_if_complete(state);
}

// Proves that the starts of these attempts arrived, so that none is on its way.
void entry_service::note_begun(const job_pointer& state,
                               const agent_run_id& agent,
                               const std::vector<begun_attempt>& begun)
{
    with_job(state,
             [&](job_state& it)
             {
                 for (const auto& each : begun)
                     it.run.note_begun(
                         {each.index, each.attempt, agent.agent, agent.run});
             });
}

// A task that finished while its agent was disconnected is handled as if its
// result arrived now, and so may be retried.
void entry_service::record_finished(const job_pointer& state,
                                    const status_message& it)
{
    for (const auto& item : it.items)
    {
        if (item.state == start_state::finished)
            record_result(state,
                          {item.index, item.attempt, it.agent, it.agent_run},
                          item.result, attempt_end::reported);
    }
}

// An agent keeps the result of a run that has ended, and reports it again when
// it declines a later attempt.
report_outcome entry_service::apply(job_state& state, const agent_run_id& agent,
                                    const status_item& it,
                                    const attempt_start& start)
{
    const auto outcome = state.run.take_report(
        {.reported = {it.index, it.attempt, agent.agent, agent.run},
         .started = it.state != start_state::not_started,
         .forbidden = it.forbidden,
         .start = start});
    if (outcome == report_outcome::adopted ||
        outcome == report_outcome::confirmed)
        ++recovered_;
    if (outcome == report_outcome::waits_again && state.cancelled &&
        state.stage == job_stage::running)
        state.run.finish_waiting(it.index, failure_reason::cancelled,
                                 "cancelled by the caller");
    return outcome;
}

//! An attempt whose agent is given up.
struct entry_service::lost_attempt
{
    attempt_key key;
    //! To be given up only once the agent's new incarnation accepts tasks.
    bool once_accepting = false;
    //! Until when it is kept because its start may begin later; found now.
    std::optional<instant> held_until = {};
    bool restarted = false; //!< the agent's process began anew
};

void entry_service::check_lost(instant now)
{
    const auto links = linked_agents();
    for (const auto& state : open_jobs())
    {
        std::vector<lost_attempt> lost;
        bool adopting = false;
        with_job(state,
                 [&](job_state& it)
                 {
                     adopting = it.stage == job_stage::adopting;
                     lost = lost_attempts(it, *links, now);
                 });
        for (const auto& it : lost)
        {
            if (it.held_until)
            {
                ++held_moves_;
                log_held(*state, it, now);
                continue;
            }
            if (it.once_accepting &&
                !dispatcher_.agents().accepts(it.key.agent))
                continue;
            record_result(state, it.key, lost_result(it.key),
                          attempt_end::lost);
        }
        if (adopting)
            finish_adoption(state);
        release_held(state, now);
    }
}

// @return the attempts whose agent is given up: it reconnected as another
// incarnation, or did not reconnect within the grace period. A task that may be
// retried waits until the new incarnation accepts tasks, because that one first
// ends the runs that the old one left. A start without an answer outlives both:
// a next life of the worker may carry it out, so its task isn't started
// elsewhere before. A cancelled task is started nowhere.
std::vector<entry_service::lost_attempt>
entry_service::lost_attempts(job_state& state, const linked_runs& links,
                             instant now) const
{
    std::vector<lost_attempt> lost;
    const auto is_linked = [&links](const agent_run_id& it)
    {
        const auto link = links.find(it.agent);
        return link != links.end() && link->second == it.run;
    };
    std::erase_if(state.reconnect_deadlines,
                  [&](const auto& it) { return is_linked(it.first); });
    for (const auto& key : state.run.dispatched())
    {
        const agent_run_id agent{key.agent, key.agent_run};
        if (is_linked(agent))
            continue;
        const auto link = links.find(key.agent);
        const auto until =
            state.reconnect_deadlines
                .try_emplace(agent, now + options_.reconnect_timeout)
                .first->second;
        const bool restarted = link != links.end();
        const bool late = now >= until;
        if (!restarted && !late)
            continue;
        const bool may_move = state.submitted->idempotent && !state.cancelled;
        if (!may_move || !state.run.may_run_late(key, now))
            lost.push_back({key, !late && state.submitted->idempotent});
        else if (const auto held_until = state.run.note_held(key))
            lost.push_back({key, false, held_until, restarted});
    }
    return lost;
}

void entry_service::log_held(const job_state& state, const lost_attempt& it,
                             instant now) const
{
    write_event(
        log_level::info, part, state.id, "move_held",
        {{"task", static_cast<std::int64_t>(it.key.index.number())},
         {"attempt", number_of(it.key.attempt)},
         {"agent", it.key.agent.text()},
         {"agent_restarted", it.restarted ? "yes" : "no"},
         {"up_to_ms",
          milliseconds_of(std::min(*it.held_until, state.deadline) - now)}});
}

} // namespace lagoonquay
