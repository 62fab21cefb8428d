//! What passes between an agent and a worker that runs tasks under leases.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/time.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! One life of a worker: it has forgotten every run of earlier ones.
using worker_life = number_id<struct worker_life_tag>;

//! A worker follows only the highest token that it has seen in its life.
using fencing_token = number_id<struct fencing_token_tag>;

//! The worker's own clock, which starts with its life.
using worker_time = std::chrono::milliseconds;

//! One run of a task. A worker runs no attempt that is not above those that
//! ended or were stopped there.
struct task_run
{
    submission_id submission;
    task_index index;
    attempt_number attempt;

    friend auto operator<=>(const task_run&, const task_run&) = default;
};

//! How a run ended.
enum class run_end
{
    done,
    failed,  //!< by the task's or the worker's fault
    stopped, //!< on an agent's order
    lapsed,  //!< its lease ran out
};

//! A run that has ended; numbers rise within a life.
struct ended_run
{
    std::uint64_t number = 0;
    task_run run;
    run_end how = run_end::failed;

    friend bool operator==(const ended_run&, const ended_run&) = default;
};

//! A run that goes on, and how far it has come.
struct running_run
{
    task_run run;
    std::uint32_t percent = 0; //!< of its work, as far as the worker tells

    friend bool operator==(const running_run&, const running_run&) = default;
};

//! Where a worker is and which life it lives.
struct worker_address
{
    endpoint address;
    std::string id; //!< as the worker names itself
    worker_life life;

    friend bool operator==(const worker_address&,
                           const worker_address&) = default;
};

struct start_order
{
    task_run run;
    std::string payload;
    worker_time lease_end{}; //!< for everything that runs there
    fencing_token fence;

    friend bool operator==(const start_order&, const start_order&) = default;
};

struct stop_order
{
    task_run run;
    fencing_token fence;

    friend bool operator==(const stop_order&, const stop_order&) = default;
};

//! Extends the lease of all runs, and asks what runs and what has ended.
struct lease_order
{
    std::optional<worker_time> lease_end; //!< none to ask only
    fencing_token fence;
    std::uint64_t seen = 0; //!< ends up to this number are noted
    duration wait{};        //!< for an end, before the worker answers

    friend bool operator==(const lease_order&, const lease_order&) = default;
};

//! What a worker did with an order.
enum class order_result
{
    accepted,
    superseded, //!< the run or a later attempt ended or was stopped there
    fenced,     //!< the worker has seen a higher token
    too_late,   //!< the lease of the start was over
    no_room,
    unhealthy,  //!< the worker takes no order now; it did nothing
    invalid,    //!< the worker can't read the order; it did nothing
    other_life, //!< the worker has restarted; it did nothing
    next_life,  //!< the worker has restarted, and its new life carried it out
    unknown,    //!< no answer: may have been, or may yet be, carried out
};

//! An answer to a start or a stop may come from a later life than was asked.
struct order_reply
{
    order_result result = order_result::unknown;
    std::optional<worker_time> clock;

    friend bool operator==(const order_reply&, const order_reply&) = default;
};

struct lease_reply
{
    order_reply order;
    std::vector<running_run> running;
    std::vector<ended_run> ended; //!< above `seen`, lowest number first

    friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

//! Sends orders to a worker. Each is called from any thread and answers once,
//! from any thread.
struct worker_hooks
{
    std::function<void(const worker_address&, const start_order&,
                       std::function<void(const order_reply&)>)>
        start;
    std::function<void(const worker_address&, const stop_order&,
                       std::function<void(const order_reply&)>)>
        stop;
    std::function<void(const worker_address&, const lease_order&,
                       std::function<void(const lease_reply&)>)>
        extend;
};

} // namespace lagoonquay
