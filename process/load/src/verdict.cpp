#include "lagoonquay/load/verdict.hpp"

#include <algorithm>

namespace lagoonquay::load
{

namespace
{

// The stand-in upstream answers with the submission and the index, so that a
// crossed answer shows.
bool whole_and_own(const planned_job& planned, const job_answer& answer)
{
    const auto& id = planned->work->submission;
    if (answer->results.size() != planned->work->tasks.size())
        return false;
    std::uint64_t n = 0;
    for (const auto& it : answer->results)
    {
        const auto body = id.text() + "/" + std::to_string(n) + " done";
        if (it->index != task_index(n) || it->body != body)
            return false;
        ++n;
    }
    return true;
}

bool as_planned(expectation expected, failure_reason reason) noexcept
{
    switch (expected)
    {
    case expectation::task_fails:
        return reason == failure_reason::upstream_failed;
    case expectation::impossible:
        return reason == failure_reason::impossible_need;
    case expectation::cancelled:
        return reason == failure_reason::cancelled;
    default:
        return false;
    }
}

bool may_complete(expectation expected) noexcept
{
    return expected == expectation::complete ||
           expected == expectation::cancelled;
}

} // namespace

std::string_view to_text(verdict value) noexcept
{
    switch (value)
    {
    case verdict::complete:
        return "complete";
    case verdict::failed_as_planned:
        return "failed_as_planned";
    case verdict::refused_not_run:
        return "refused_not_run";
    case verdict::failed:
        return "failed";
    case verdict::lost:
        return "lost";
    case verdict::wrong:
        return "wrong";
    }
    return "wrong";
}

verdict judge(const planned_job& planned,
              const std::optional<job_answer>& answer)
{
    if (!answer)
        return verdict::lost;
    const auto& it = *answer;
    if (it->submission != planned->work->submission)
        return verdict::wrong;
    if (succeeded(it))
    {
        const bool right =
            may_complete(planned->expected) && whole_and_own(planned, it);
        return right ? verdict::complete : verdict::wrong;
    }
    if (!it->results.empty())
        return verdict::wrong;
    if (as_planned(planned->expected, it->reason))
        return verdict::failed_as_planned;
    return it->ran == effect::not_run ? verdict::refused_not_run
                                      : verdict::failed;
}

start_report count_starts(const std::vector<std::string>& lines,
                          std::string_view prefix)
{
    start_report report;
    std::set<std::string> tasks;
    for (const auto& it : lines)
    {
        if (!it.starts_with(prefix))
            continue;
        const auto job_end = it.find(' ');
        if (job_end == std::string::npos)
            continue;
        ++report.starts;
        report.started_jobs.insert(it.substr(0, job_end));
        const auto task_end = it.find(' ', job_end + 1);
        const bool first = tasks.insert(it.substr(0, task_end)).second;
        report.doubled += first ? 0 : 1;
    }
    return report;
}

} // namespace lagoonquay::load
