//! One job at an entry, shared by the sources of entry_service.
#pragma once

#include "lagoonquay/process/entry_service.hpp"

#include <algorithm>
#include <set>

namespace lagoonquay
{

//! Where a job stands at an entry.
enum class job_stage
{
    claiming,  //!< no claim yet; another entry may hold it
    adopting,  //!< claimed; agents of earlier claims are asked
    running,   //!< claimed; tasks may be dispatched
    forwarded, //!< handed to the holder
};

//! Writes that a job was refused, and why.
void log_refusal(const job_answer& refused);

//! Attempts that one claim round leaves room for.
constexpr std::uint64_t attempts_per_round = 1ULL << 16U;

inline attempt_number attempt_base(claim_round round) noexcept
{
    return attempt_number(round.number() * attempts_per_round);
}

//! A job at this entry. The first block never changes; the rest is guarded by
//! the lock of the job's shard.
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

    claim_round round;
    instant claim_end{};
    claim_ask ask;                    //!< of the last new claim
    bool asking = false;              //!< a claim or renewal is under way
    std::optional<instant> ask_again; //!< when to claim once more
    agent_reach asked;                //!< reach named in the claim under way
    agent_reach reach;                //!< confirmed; these may be used
    std::set<agent_run_id> wanted;    //!< to be named by the next renewal
    bool parked = false;              //!< waiting tasks are not all queued

    bool adoption = false;          //!< an earlier claim may have been used
    std::set<agent_run_id> unheard; //!< of its reach; have not answered
    std::set<agent_run_id> earlier; //!< its reach
    bool reach_lost = false;        //!< some of it can't answer any more
    instant recovery_end{};
    std::map<agent_run_id, instant> lost; //!< until when to wait for them

    bool forward_pending = false;
    std::uint64_t retries = 0;

    bool closing = false; //!< its failure is being recorded

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
