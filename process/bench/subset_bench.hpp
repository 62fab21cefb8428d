//! Measures how many agents an entry should link to in a large fleet.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoonquay
{

//! A fleet, and the load that it is offered.
struct subset_run
{
    std::uint32_t entries = 55;
    std::uint32_t agents = 240;
    std::uint32_t slots = 5;   //!< of each worker
    std::uint32_t subset = 24; //!< most agents that an entry links to
    double load = 0.65;        //!< offered work over slots
    duration length = std::chrono::seconds(20);
    std::uint64_t seed = 1;

    friend bool operator==(const subset_run&, const subset_run&) = default;
};

//! What a run cost and how long its jobs waited.
struct subset_figures
{
    std::size_t refused = 0;
    double moves_per_task = 0;  //!< tasks that a full worker handed back
    double grants_per_task = 0; //!< messages with which agents tell their load
    std::vector<double> waits;  //!< ms beyond the ideal, sorted

    friend bool operator==(const subset_figures&,
                           const subset_figures&) = default;
};

//! Offers short wide, long and narrow jobs to a fleet on virtual time.
subset_figures run_subset(const subset_run& what);

//! Prints moves, messages and waits for subsets of different sizes.
void measure_subsets(std::uint64_t seed, double load);

} // namespace lagoonquay
