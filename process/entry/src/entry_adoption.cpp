// Adoption of jobs from an earlier claim.
#include "entry_job.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"

#include <iterator>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! How an adoption settled, for the log.
struct settled_adoption
{
    claim_round round;
    std::size_t agents = 0; //!< of the earlier claims
    std::size_t silent = 0; //!< of them, that can't be reached
    std::size_t anew = 0;   //!< of them, that have another process
    std::size_t tasks = 0;
    std::size_t untold = 0; //!< that no agent has
    std::size_t held = 0;   //!< of these, that wait for a late start's end
    duration took{};
    bool record_lost = false; //!< of an earlier claim, with its agents
};

void log_settled(const submission_id& submission, const settled_adoption& it)
{
    const auto count = [](std::size_t number)
    {
        return static_cast<std::int64_t>(number);
    };
    write_event(log_level::info, part, submission, "adoption_settled",
                {{"round", static_cast<std::int64_t>(it.round.number())},
                 {"agents", count(it.agents)},
                 {"silent", count(it.silent)},
                 {"anew", count(it.anew)},
                 {"tasks", count(it.tasks)},
                 {"untold", count(it.untold)},
                 {"held", count(it.held)},
                 {"after_ms", milliseconds_of(it.took)},
                 {"record_lost", it.record_lost ? "yes" : "no"}});
}

} // namespace

// An entry links to a subset of the agents, and the earlier holder linked to
// another one. Those that it lacks are linked for as long as agents stay that
// control has ceased to list.
void entry_service::link_earlier_agents(const job_pointer& state)
{
    const auto links = linked_agents();
    std::set<agent_id> missing;
    with_job(state,
             [&](const job_state& it)
             {
                 for (const auto& agent : it.awaiting_status)
                 {
                     if (!links->contains(agent.agent))
                         missing.insert(agent.agent);
                 }
             });
    std::erase_if(missing, [this](const agent_id& agent)
                  { return dispatcher_.agents().knows(agent); });
    if (missing.empty())
        return;
    std::shared_ptr<const std::vector<member>> listed;
    {
        const std::lock_guard lock(links_mutex_);
        listed = listed_;
    }
    if (!listed)
        return;
    std::vector<member> found;
    std::copy_if(listed->begin(), listed->end(), std::back_inserter(found),
                 [&](const member& it)
                 { return missing.contains(agent_id(it->id)); });
    dispatcher_.agents().learn(found, hooks_.now());
}

// The query makes the agent reject every attempt of earlier claims, so that
// dispatches of an earlier holder that are still in flight never start.
void entry_service::query_earlier_agents(const job_pointer& state)
{
    const auto links = linked_agents();
    std::vector<std::pair<agent_id, query_message>> queries;
    with_job(
        state,
        [&](job_state& it)
        {
            if (it.answer || it.stage != job_stage::adopting)
                return;
            for (const auto& [agent, run] : *links)
            {
                if (it.awaiting_status.contains({agent, run}))
                    queries.emplace_back(agent, query_for(it, {agent, run}));
            }
        });
    for (const auto& [agent, query] : queries)
        dispatcher_.agents().send(agent, query);
    finish_adoption(state);
}

//! @return a question for all tasks that forbids the attempts of earlier
//! claims, and of this one those that the agent was sent.
query_message entry_service::query_for(const job_state& state,
                                       const agent_run_id& agent)
{
    query_message query{state.id, agent.run, {}};
    for (std::uint64_t n = 0; n < state.submitted->tasks.size(); ++n)
        query.items.push_back({task_index(n), attempt_base(state.round)});
    for (const auto& key : state.run.dispatched())
    {
        if (key.agent == agent.agent && key.agent_run == agent.run)
            query.items[key.index.number()].last =
                std::max(key.attempt, attempt_base(state.round));
    }
    return query;
}

// @return the agents of the earlier reach that began anew and accept tasks:
// they have ended the runs of their earlier processes.
std::set<agent_id>
entry_service::agents_that_accept_again(const job_pointer& state,
                                        const linked_runs& links)
{
    std::set<agent_id> found;
    with_job(state,
             [&](const job_state& it)
             {
                 for (const auto& [agent, run] : it.awaiting_status)
                 {
                     const auto link = links.find(agent);
                     if (link != links.end() && link->second != run)
                         found.insert(agent);
                 }
             });
    std::erase_if(found, [this](const agent_id& agent)
                  { return !dispatcher_.agents().accepts(agent); });
    return found;
}

//! @return the agents that are waited for and have told that they are drained.
std::set<agent_run_id> entry_service::drained_agents(const job_pointer& state)
{
    std::set<agent_run_id> found;
    with_job(state, [&](const job_state& it) { found = it.awaiting_status; });
    std::erase_if(
        found, [this](const agent_run_id& it)
        { return !dispatcher_.agents().has_drained(it.agent, it.run); });
    return found;
}

// Tasks that no agent has started are dispatched once every agent of the
// earlier reach has reported its status. If one can't answer any more, the
// tasks may have run there.
void entry_service::finish_adoption(const job_pointer& state)
{
    const auto now = hooks_.now();
    const auto links = linked_agents();
    const agents_heard_of heard{links, agents_that_accept_again(state, *links),
                                drained_agents(state)};
    std::optional<settled_adoption> settled;
    bool untouched = false;
    auto ran = effect::unknown;
    with_job(
        state,
        [&](job_state& it)
        {
            if (it.answer || it.stage != job_stage::adopting)
                return;
            lose_silent_agents(it, heard, now);
            it.has_lost_agents =
                it.silent_agents + it.agents_anew > 0 || it.has_lost_record;
            if (!it.awaiting_status.empty())
                return;
            it.stage = job_stage::running;
            settled = {it.round,
                       it.earlier_agents.size(),
                       it.silent_agents,
                       it.agents_anew,
                       it.submitted->tasks.size(),
                       it.run.waiting().size(),
                       0,
                       now - it.adoption_began,
                       it.has_lost_record};
            const bool may_refuse = it.has_lost_record
                                        ? it.submitted->idempotent
                                        : !it.has_lost_agents;
            untouched = may_refuse && it.run.untouched();
            ran = it.has_lost_record ? effect::unknown : effect::not_run;
            if (!it.has_lost_agents)
                return;
            for (const auto& index : it.run.waiting())
            {
                it.run.doubt(index);
                if (it.submitted->idempotent)
                    continue;
                it.run.finish_waiting(index, failure_reason::link_lost,
                                      "an agent of an earlier claim was lost");
            }
            if (!may_start_late(it, now))
                return;
            // Also those that an agent has: their runs may end unknown.
            for (std::uint64_t n = 0; n < it.submitted->tasks.size(); ++n)
                it.held_tasks.insert(task_index(n));
            settled->held = it.run.waiting().size();
        });
    if (!settled)
        return;
    log_settled(state->id, *settled);
    held_moves_ += settled->held;
    if (untouched)
    {
        if (const auto refused = refuse_admission(state, ran))
        {
            release_claim(state);
            return refuse(state, *refused);
        }
    }
    write_log(log_level::info, part, state->id,
              "Adoption settled; waiting tasks can be dispatched.");
    enqueue_waiting(state);
}

// An agent that can't answer any more is waited for until `recovery_end`; one
// that has told that it is drained is not, nor one whose next process accepts
// tasks. A start that such an agent sent may begin later, unless it is drained.
void entry_service::lose_silent_agents(job_state& state,
                                       const agents_heard_of& heard,
                                       instant now)
{
    const bool idempotent = state.submitted->idempotent;
    std::erase_if(state.awaiting_status,
                  [&](const agent_run_id& agent)
                  {
                      const auto link = heard.links->find(agent.agent);
                      const bool silent = link == heard.links->end();
                      if (!silent && link->second == agent.run)
                          return false;
                      const bool drained = heard.drained.contains(agent);
                      const bool accepts =
                          !silent && (!idempotent ||
                                      heard.accepting.contains(agent.agent));
                      if (!drained && !accepts && now < state.recovery_end)
                          return false;
                      ++(silent ? state.silent_agents : state.agents_anew);
                      if (!drained && idempotent)
                          state.unheard_agents.insert(agent);
                      return true;
                  });
}

// Requires the lock of the job's shard. The last start of an earlier holder was
// sent before this entry got the claim, or before a link's loss gives it up.
//! @return whether a start of an agent that didn't answer may yet begin.
bool entry_service::may_start_late(const job_state& state, instant now)
{
    const auto late_run_time = dispatcher_.agents().late_run_time();
    const auto last_start = state.adoption_began + options_.reconnect_timeout -
                            options_.orphan_run_time;
    return !state.unheard_agents.empty() &&
           (!late_run_time || (*late_run_time > duration::zero() &&
                               now < last_start + *late_run_time));
}

// Tasks that were held are dispatched once each such agent has told what became
// of them, or no late run can go on.
void entry_service::release_held(const job_pointer& state, instant now)
{
    bool released = false;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.held_tasks.empty() || may_start_late(it, now))
                     return;
                 it.held_tasks.clear();
                 it.unheard_agents.clear();
                 released = it.stage == job_stage::running;
             });
    if (released)
        enqueue_waiting(state);
}

} // namespace lagoonquay
