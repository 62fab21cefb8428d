//! Turns what a run saw into its figures. Pure.
#pragma once

#include "lagoonquay/load/fleet_layout.hpp"
#include "lagoonquay/load/fleet_samples.hpp"
#include "lagoonquay/load/job_runner.hpp"
#include "lagoonquay/load/process_usage.hpp"
#include "lagoonquay/load/run_result.hpp"

#include <vector>

namespace lagoonquay::load
{

//! Use of one role's processes during a run.
struct role_cost
{
    std::string role;
    role_usage before;
    role_usage after;

    friend bool operator==(const role_cost&, const role_cost&) = default;
};

//! Everything that a run saw.
struct run_observations
{
    std::vector<job_outcome> outcomes;
    std::vector<agent_sample> agents;
    entry_sample before;
    entry_sample after;
    start_report starts;
    std::vector<role_cost> costs;
    duration length{}; //!< from the start to the last answer

    friend bool operator==(const run_observations&,
                           const run_observations&) = default;
};

run_result make_result(const experiment& it, const run_observations& seen);

} // namespace lagoonquay::load
