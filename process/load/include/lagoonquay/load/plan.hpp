//! The jobs of an experiment, drawn from its seed. Pure.
#pragma once

#include "lagoonquay/load/experiment.hpp"
#include "lagoonquay/request/job.hpp"

#include <optional>
#include <vector>

namespace lagoonquay::load
{

//! What the answer to a planned job must be.
enum class expectation
{
    complete,
    task_fails, //!< one of its tasks fails at the upstream
    impossible, //!< no worker is large enough
    cancelled,  //!< fails as cancelled, unless it was faster
};

struct planned_job_options
{
    duration at{};         //!< scheduled arrival since the start
    std::size_t entry = 0; //!< which entry gets it
    job work;              //!< its creation time is set when it arrives
    expectation expected = expectation::complete;
    duration longest_task{};
    duration total_work{};
    std::optional<duration> resubmit_after; //!< through the next entry
    std::optional<duration> cancel_after;

    friend bool operator==(const planned_job_options&,
                           const planned_job_options&) = default;
};

using planned_job = immutable<planned_job_options>;

//! Draws arrivals as a Poisson process with bursts.
//! @return the same jobs for the same experiment and run, by arrival.
//! @param run  makes the submission ids of this run its own.
std::vector<planned_job> make_plan(const experiment& it,
                                   const std::string& run);

//! @return the shortest possible response: the round trips, plus the longest
//! task or the total work spread over all slots, whichever is longer.
duration ideal_response(const planned_job& planned, duration round_trips,
                        std::uint64_t usable_slots);

} // namespace lagoonquay::load
