//! What a run measured, as a value; compared, encoded and reported.
#pragma once

#include "lagoonquay/load/statistics.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/immutable.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay::load
{

//! One named figure.
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;

    friend bool operator==(const figure&, const figure&) = default;
};

struct run_result_options
{
    std::string experiment;
    std::uint64_t seed = 0;
    std::vector<figure> figures;
    std::vector<point> slowdowns;   //!< s of arrival, response over ideal
    std::vector<point> running;     //!< s since the start, tasks that run
    std::vector<std::string> notes; //!< a line for each unplanned outcome

    friend bool operator==(const run_result_options&,
                           const run_result_options&) = default;
};

using run_result = immutable<run_result_options>;

std::string encode_result(const run_result& result);
//! @return the result, or bad_settings if the text is not one.
process_result<run_result> decode_result(std::string_view text);

//! @return the figures as a text table.
std::string to_table(const run_result& result);

//! @return a text table of both runs' figures, with their ratio.
std::string compare(const run_result& first, const run_result& second);

//! @return median, least and most of each figure over repeated runs.
std::string summarize(const std::vector<run_result>& runs);

//! @return an HTML page with the figures and plots.
std::string to_html(const run_result& result);

} // namespace lagoonquay::load
