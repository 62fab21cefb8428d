//! What the processes of a fleet say of themselves, over time. Pure.
#pragma once

#include "lagoonquay/load/statistics.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay::load
{

//! One state dump of an agent.
struct agent_sample
{
    duration at{}; //!< since the start of the run
    std::string agent;
    std::string domain;
    std::uint64_t running = 0;
    std::uint64_t started = 0;

    friend bool operator==(const agent_sample&, const agent_sample&) = default;
};

//! Counts of an entry's state dump.
struct entry_sample
{
    std::uint64_t dispatched = 0;
    std::uint64_t requeued = 0;
    std::uint64_t dropped_results = 0;

    friend bool operator==(const entry_sample&, const entry_sample&) = default;
};

//! Read a state dump. @return the sample, or failed for another document.
process_result<agent_sample> decode_agent_state(std::string_view text);
process_result<entry_sample> decode_entry_state(std::string_view text);

//! @return the tasks that run on all agents, by time in s.
//! @param samples  by time.
std::vector<point> running_over_time(const std::vector<agent_sample>& samples);

//! @return the area under a curve between two times, in y times seconds.
double area_between(const std::vector<point>& curve, double from, double to);

//! @return starts in a failure domain between two times.
std::uint64_t starts_between(const std::vector<agent_sample>& samples,
                             const std::string& domain, duration from,
                             duration to);

} // namespace lagoonquay::load
