//! What a caller gets back: outcomes of tasks, answers and refusals.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! What is known about the execution of a task or a job.
enum class effect
{
    not_run, //!< proved never to have started, and never will
    unknown, //!< may have run
    ran,     //!< started
};

//! Why a job or a task did not succeed.
enum class failure_reason
{
    none,
    draining,             //!< the process is shutting down
    overloaded,           //!< the queue is full or the deadline unreachable
    quota,                //!< the customer's quota is used up
    no_permit,            //!< no current permit from control
    impossible_need,      //!< no worker is large enough, or serves the job
    deadline,             //!< the deadline passed
    cancelled,            //!< the caller cancelled the job
    upstream_failed,      //!< the upstream answered with an error
    upstream_unreachable, //!< the upstream could not be called
    link_lost,            //!< the agent was lost with the task
    ledger_unavailable,   //!< no quorum of ledger replicas
    fenced,               //!< created before the ledger's memory begins
    expired,              //!< older than the ledger's retention
    content_mismatch,     //!< same submission id, different content
    claim_lost,           //!< another entry holds the claim
    not_startable,        //!< the agent declined the dispatch
    no_room,              //!< the worker stayed full
    already_failed,       //!< the submission was answered with a failure
};

//! Number of reasons.
constexpr std::size_t failure_reasons =
    static_cast<std::size_t>(failure_reason::already_failed) + 1;

//! @return the stable lower-case name used in messages and logs.
std::string_view to_text(effect value) noexcept;
std::string_view to_text(failure_reason value) noexcept;

struct task_result_options
{
    task_index index;
    failure_reason reason = failure_reason::none;
    effect ran = effect::not_run;
    std::string body;   //!< the upstream's answer when it succeeded
    std::string detail; //!< a sentence when it failed

    friend bool operator==(const task_result_options&,
                           const task_result_options&) = default;
};

//! The final outcome of one task.
using task_result = immutable<task_result_options>;

//! @return whether the task succeeded.
bool succeeded(const task_result& result) noexcept;

struct job_answer_options
{
    submission_id submission;
    failure_reason reason = failure_reason::none;
    effect ran = effect::not_run; //!< the strongest over all tasks
    std::string detail;
    std::vector<task_result> results;  //!< every task, or none on failure
    std::vector<task_result> failures; //!< the tasks that failed

    friend bool operator==(const job_answer_options&,
                           const job_answer_options&) = default;
};

//! The whole answer to a job, or its clear failure.
using job_answer = immutable<job_answer_options>;

//! @return whether the job is complete.
bool succeeded(const job_answer& answer) noexcept;

//! @return a refusal of a whole job.
job_answer refusal(const submission_id& submission, failure_reason reason,
                   effect ran, std::string detail);

} // namespace lagoonquay
