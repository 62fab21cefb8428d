//! Judges the answer to a planned job. Pure.
#pragma once

#include "lagoonquay/load/plan.hpp"
#include "lagoonquay/request/answer.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lagoonquay::load
{

//! What became of one submission at one entry.
enum class verdict
{
    complete,
    failed_as_planned,
    refused_not_run, //!< and says so
    failed,          //!< clearly, for another reason than planned
    lost,            //!< no readable answer
    wrong,           //!< partial, of another request, or against the plan
};

std::string_view to_text(verdict value) noexcept;

//! @param answer  nothing if none arrived that could be read.
verdict judge(const planned_job& planned,
              const std::optional<job_answer>& answer);

//! Starts that the stand-in upstreams recorded.
struct start_report
{
    std::uint64_t starts = 0;
    std::uint64_t doubled = 0; //!< starts beyond the first of a task
    std::set<std::string> started_jobs;

    friend bool operator==(const start_report&, const start_report&) = default;
};

//! Adds up record lines "submission index attempt" of one run.
//! @param prefix  of the run's submission ids; other lines are skipped.
start_report count_starts(const std::vector<std::string>& lines,
                          std::string_view prefix);

} // namespace lagoonquay::load
