//! Measures what one more record, message or member costs, in this process.
#pragma once

#include "lagoonquay/load/run_result.hpp"

#include <vector>

namespace lagoonquay::load
{

//! A figure's growth over a size, as a line through medians of repeats.
struct slope
{
    std::string name;
    std::string unit; //!< of y, for each x
    line fitted;
    std::vector<point> points;

    friend bool operator==(const slope&, const slope&) = default;
};

//! Measures every slope; takes some seconds. Not thread-safe: memory is
//! counted for the whole process.
std::vector<slope> measure_slopes();

//! Fits figures of runs at different rates against their starts.
std::vector<slope> fit_runs(const std::vector<run_result>& runs);

std::string to_table(const std::vector<slope>& slopes);
std::string encode_slopes(const std::vector<slope>& slopes);

} // namespace lagoonquay::load
