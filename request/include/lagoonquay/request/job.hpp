//! A job as a caller submits it. Lives for one request.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/need.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonquay
{

struct task_options
{
    std::string kind;        //!< names the run-time statistics to use
    std::string payload;     //!< handed to the upstream unchanged
    resources need;          //!< as declared; may be wrong
    duration declared_run{}; //!< as declared; zero means unknown

    friend bool operator==(const task_options&, const task_options&) = default;
};

//! One task of a job.
using task = immutable<task_options>;

//! When a job is due: after a multiple of its longest task's run time and a
//! fixed time more.
struct job_aim
{
    double stretch = 0; //!< zero for a job without an aim
    duration target{};

    friend bool operator==(const job_aim&, const job_aim&) = default;
};

struct job_options
{
    submission_id submission;
    customer_id customer;
    //! Only its workers run the tasks; empty if any worker may.
    service_id service;
    wall_time created{}; //!< repeated unchanged by a resubmission
    //! Whether the caller told the creation time. If not, the entry stamps the
    //! job itself, and resubmissions may differ in it and in the time limit.
    bool dated = true;
    std::uint32_t attempts = 1; //!< runs of one task that may end as failed
    std::uint32_t priority = 0; //!< of its queue; 0 goes first
    duration time_limit{};      //!< from acceptance to the deadline
    job_aim aim;
    bool idempotent = false; //!< whether a task may run more than once
    std::vector<task> tasks;

    friend bool operator==(const job_options&, const job_options&) = default;
};

//! A job: the unit that is answered whole or fails.
using job = immutable<job_options>;

//! @return a digest of everything but the submission id, and the service and
//! the priority, which the caller does not send, and for a job without a
//! creation time but its times; FNV-1a, 64 bits.
content_digest digest_of(const job& submitted);

} // namespace lagoonquay
