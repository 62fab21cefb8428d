//! State of one job at an entry, shared by the sources of entry_service.
#pragma once

#include "lagoonquay/process/entry_service.hpp"

#include <algorithm>
#include <set>

namespace lagoonquay
{

//! Stage of a job at an entry.
enum class job_stage
{
    claiming,  //!< no claim granted; another entry may hold it
    adopting,  //!< claimed; agents of earlier claims are queried
    running,   //!< claimed; tasks may be dispatched
    forwarded, //!< sent to the entry that holds the claim
};

//! @return the stable name of a stage, as logs have it.
std::string_view to_text(job_stage stage) noexcept;

//! Logs the refusal of a job with its reason.
void log_refusal(const job_answer& refused);

//! @return the answer with "not run" downgraded to "unknown".
job_answer with_unknown_effects(const job_answer& answer);

//! Number of attempt numbers that belong to one claim round.
constexpr std::uint64_t attempts_per_round = 1ULL << 16U;

//! @return the lowest attempt number of a claim round.
inline attempt_number attempt_base(claim_round round) noexcept
{
    return attempt_number(round.number() * attempts_per_round);
}

//! A job at this entry. The const members never change; the others are guarded
//! by the lock of the job's shard.
struct entry_service::job_state
{
    job_state(const job& work, content_digest content, instant now,
              instant last)
        : submitted(work), id(work->submission), digest(content), accepted(now),
          deadline(last), run(work)
    {
    }

    const job submitted;
    const submission_id id;
    const content_digest digest;
    const instant accepted;
    const instant deadline;

    job_run run;
    job_stage stage = job_stage::claiming;
    bool cancelled = false;
    instant cancel_sent{};      //!< when the cancel was last passed on
    std::string holder_address; //!< of a job that was forwarded

    claim_round round;
    instant claim_end{};
    claim_round asked_round; //!< that the last claim confirms, if any
    //! A new replica was told of the claim in flight since it was sent.
    bool told_in_flight = false;
    std::uint32_t confirmations =
        0;                      //!< that were sent since the last new claim
    claim_sequence ask;         //!< number of the last new claim
    bool claim_pending = false; //!< a claim or renewal is in flight
    bool lapsed =
        false; //!< the claim's end has passed, and its runs are given up
    std::optional<instant> claim_retry_at; //!< when to repeat the claim
    agent_reach requested_reach; //!< reach listed in the claim in flight
    agent_reach reach;           //!< confirmed; tasks may go to these agents
    std::set<agent_run_id> agents_to_add; //!< by the next renewal
    bool has_parked_tasks = false;        //!< some waiting tasks left the queue

    bool needs_adoption = false; //!< tasks may have run under an earlier claim
    //! Subset of earlier_agents whose status has not arrived.
    std::set<agent_run_id> awaiting_status;
    agent_reach earlier_agents; //!< reach of the earlier claims
    //! An agent of earlier_agents can't report its status any more.
    bool has_lost_agents = false;
    //! The record of an earlier claim may be lost, and with it its agents.
    bool has_lost_record = false;
    instant adoption_began{};
    instant recovery_end{};
    std::size_t silent_agents = 0; //!< of earlier_agents, at the settlement
    std::size_t agents_anew = 0;   //!< likewise, that have another process
    //! Of these, the ones that may have sent a start which begins late.
    std::set<agent_run_id> unheard_agents;
    //! Tasks that such a start may belong to; not dispatched while they wait.
    std::set<task_index> held_tasks;

    bool may_dispatch(task_index index) const
    {
        return run.is_waiting(index) && !held_tasks.contains(index);
    }
    //! Time by which each unlinked agent with tasks has to reconnect.
    std::map<agent_run_id, instant> reconnect_deadlines;

    bool forward_pending = false;
    std::uint64_t retries = 0;

    bool closing = false; //!< the ledger is recording the job's failure

    std::vector<answer_hook> waiters;
    std::optional<job_answer> answer;
    instant answered_at{};
};

template <typename Use>
bool entry_service::with_job(const job_pointer& state, Use use)
{
    return jobs_.with(state->id,
                      [&](auto* it)
                      {
                          if (it == nullptr || *it != state)
                              return false;
                          use(*state);
                          return true;
                      });
}

} // namespace lagoonquay
