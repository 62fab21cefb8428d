// Adoption of jobs from an earlier claim.
#include "entry_job.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"

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
                 {"after_ms", milliseconds_of(it.took)},
                 {"record_lost", it.record_lost ? "yes" : "no"}});
}

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
    std::optional<settled_adoption> settled;
    bool untouched = false;
    auto ran = effect::unknown;
    with_job(
        state,
        [&](job_state& it)
        {
            if (it.answer || it.stage != job_stage::adopting)
                return;
            const bool late = now >= it.recovery_end;
            std::erase_if(it.awaiting_status,
                          [&](const agent_run_id& agent)
                          {
                              const auto link = links->find(agent.agent);
                              const bool silent = link == links->end();
                              if (!silent && link->second == agent.run)
                                  return false;
                              const bool lost =
                                  late || (!silent &&
                                           (!it.submitted->idempotent ||
                                            accepting.contains(agent.agent)));
                              it.silent_agents += lost && silent ? 1 : 0;
                              it.agents_anew += lost && !silent ? 1 : 0;
                              return lost;
                          });
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
        });
    if (!settled)
        return;
    log_settled(state->id, *settled);
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
