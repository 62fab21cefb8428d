// Adoption of jobs from an earlier claim.
#include "entry_job.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

} // namespace

// The query makes the agent reject every attempt of earlier claims, so that
// dispatches of an earlier holder that are still in flight never start.
void entry_service::query_earlier_agents(const job_pointer& state)
{
    const auto links = linked_agents();
    std::vector<std::pair<agent_id, query_message>> queries;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer || it.stage != job_stage::adopting)
                     return;
                 for (const auto& [agent, run] : *links)
                 {
                     if (!it.awaiting_status.contains({agent, run}))
                         continue;
                     query_message query{it.id, run, {}};
                     for (std::uint64_t n = 0; n < it.submitted->tasks.size();
                          ++n)
                         query.items.push_back(
                             {task_index(n), attempt_base(it.round)});
                     queries.emplace_back(agent, std::move(query));
                 }
             });
    for (const auto& [agent, query] : queries)
        dispatcher_.agents().send(agent, query);
    finish_adoption(state);
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

// Tasks that no agent has started are dispatched once every agent of the
// earlier reach has reported its status. If one can't answer any more, the
// tasks may have run there.
void entry_service::finish_adoption(const job_pointer& state)
{
    const auto now = hooks_.now();
    const auto links = linked_agents();
    const auto accepting = agents_that_accept_again(state, *links);
    bool done = false;
    bool untouched = false;
    auto ran = effect::unknown;
    with_job(
        state,
        [&](job_state& it)
        {
            if (it.answer || it.stage != job_stage::adopting)
                return;
            const bool late = now >= it.recovery_end;
            const auto gone =
                std::erase_if(it.awaiting_status,
                              [&](const agent_run_id& agent)
                              {
                                  const auto link = links->find(agent.agent);
                                  if (link == links->end())
                                      return late;
                                  if (link->second == agent.run)
                                      return false;
                                  return late || !it.submitted->idempotent ||
                                         accepting.contains(agent.agent);
                              });
            it.has_lost_agents =
                it.has_lost_agents || gone > 0 || it.has_lost_record;
            if (!it.awaiting_status.empty())
                return;
            it.stage = job_stage::running;
            done = true;
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
        });
    if (!done)
        return;
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

} // namespace lagoonquay
