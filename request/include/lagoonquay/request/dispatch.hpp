//! Messages between an entry and an agent about single tasks.
#pragma once

#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job.hpp"
#include "lagoonquay/request/job_run.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonquay
{

//! First message on a link, from the entry.
struct hello_message
{
    entry_id entry;
    incarnation entry_run;

    friend bool operator==(const hello_message&,
                           const hello_message&) = default;
};

//! Tasks of one priority that wait at an agent. Not filled in by agents yet.
struct waiting_work
{
    std::uint32_t priority = 0; //!< 0 goes first
    std::uint32_t tasks = 0;
    duration work{}; //!< sum of expected run times
    duration age{};  //!< how long the oldest has waited

    friend bool operator==(const waiting_work&, const waiting_work&) = default;
};

//! Most priorities that one grant tells of.
constexpr std::size_t max_waiting_priorities = 16;

//! The agent's state as one entry needs it, and credits for its slots.
struct grant_message
{
    agent_id agent;
    incarnation agent_run;
    instant agent_time{};            //!< the agent's monotonic clock
    std::uint64_t credits_total = 0; //!< credits granted since the link opened
    std::uint32_t slots = 0;         //!< slots of the worker
    resources capacity;
    resources used;         //!< by tasks that run or wait at the agent
    bool accepting = false; //!< false without permit or upstream
    bool draining = false;  //!< asks for every unused credit
    //! Runs there of entries that are gone; at least one while the agent can't
    //! tell.
    std::uint32_t stray_runs = 0;
    //! Dispatches received since the link opened; `used` includes no later one.
    std::uint64_t dispatches_total = 0;
    service_id service = {}; //!< of the worker; empty without one
    //! How fast the worker runs tasks against the mean of their kinds, in
    //! thousandths; zero if the agent can't tell. Not filled in yet.
    std::uint32_t speed_milli = 0;
    std::vector<waiting_work> waiting = {}; //!< lowest priority number first
    //! Maximum time after the agent may last send a start that has no answer
    //! until a run of it has ended; zero if the agent doesn't tell which starts
    //! its worker has accepted.
    duration late_run_time{};
    //! Draining, and nothing runs or waits there: it starts nothing any more,
    //! and each of its starts was answered.
    bool drained = false;

    friend bool operator==(const grant_message&,
                           const grant_message&) = default;
};

//! Unused credits that an entry gives back to a draining agent.
struct return_message
{
    std::uint64_t returned_total = 0; //!< since the link opened

    friend bool operator==(const return_message&,
                           const return_message&) = default;
};

//! One task on its way to an agent; uses one credit.
struct dispatch_message
{
    submission_id submission;
    attempt_key key;
    instant start_before{};  //!< on the agent's clock: the claim's end
    duration run_limit{};    //!< the longest run that the deadline allows
    bool repeatable = false; //!< a later attempt may start it again
    service_id service;      //!< whose workers may run it; empty for any
    //! Of its job, less what its wait at the entry has aged it by; 0 goes
    //! first.
    std::uint32_t priority = 0;
    //! Latest start that meets the job's aim, on the agent's clock; zero for
    //! none.
    instant start_by{};
    //! Expected run time at a worker of the usual speed; zero if unknown.
    //! Agents don't use it yet.
    duration expected_run{};
    task work;

    friend bool operator==(const dispatch_message&,
                           const dispatch_message&) = default;
};

//! Final word of an agent on one dispatch.
struct result_message
{
    submission_id submission;
    attempt_key key;
    task_result result;
    //! Credits granted since the link opened if the credit came back with this
    //! result; zero if it did not.
    std::uint64_t credits_total = 0;
    std::uint32_t busy = 0; //!< tasks that run or wait at the agent
    duration ran_for{};     //!< at the upstream; zero if it was not called
    resources used = {};    //!< by the tasks that `busy` counts
    //! Dispatches received since the link opened; `busy` and `used` include no
    //! later one.
    std::uint64_t dispatches_total = 0;

    friend bool operator==(const result_message&,
                           const result_message&) = default;
};

//! Asks the agent never to start the task, and to stop it if it runs.
struct cancel_message
{
    submission_id submission;
    attempt_key key;
    //! The entry gives the attempt up, and its caller has not cancelled it:
    //! only a repeatable task is stopped, and a later attempt of it may run.
    bool given_up = false;

    friend bool operator==(const cancel_message&,
                           const cancel_message&) = default;
};

//! One task that an entry asks about.
struct query_item
{
    task_index index;
    attempt_number last; //!< never start an attempt up to this one

    friend bool operator==(const query_item&, const query_item&) = default;
};

//! Asks what became of tasks. The agent forbids every start up to `last` of
//! those that it has not started, and then answers.
struct query_message
{
    submission_id submission;
    incarnation agent_run;
    std::vector<query_item> items;

    friend bool operator==(const query_message&,
                           const query_message&) = default;
};

//! What an agent knows of a task.
enum class start_state
{
    not_started, //!< and never will start up to the attempt asked for
    running,     //!< the result follows on this link
    finished,    //!< the result is kept
};

//! What became of one task.
struct status_item
{
    task_index index;
    attempt_number attempt; //!< that started, or the last one forbidden
    //! No attempt after that one has started or will, up to this one.
    attempt_number forbidden;
    start_state state = start_state::not_started;
    task_result result; //!< of a finished task

    friend bool operator==(const status_item&, const status_item&) = default;
};

//! An attempt whose start the worker has accepted.
struct begun_attempt
{
    task_index index;
    attempt_number attempt;

    friend bool operator==(const begun_attempt&,
                           const begun_attempt&) = default;
};

//! Answers a query. One without items comes unasked, once a worker has accepted
//! a start.
struct status_message
{
    submission_id submission;
    agent_id agent;
    incarnation agent_run;
    std::vector<status_item> items;
    //! Those of running items, or the one that has just begun. Absent from an
    //! agent that doesn't tell.
    std::optional<std::vector<begun_attempt>> begun = {};
    duration late_run_time{}; //!< as in grant_message, if there are items

    friend bool operator==(const status_message&,
                           const status_message&) = default;
};

using link_message =
    std::variant<hello_message, grant_message, return_message, dispatch_message,
                 result_message, cancel_message, query_message, status_message>;

} // namespace lagoonquay
