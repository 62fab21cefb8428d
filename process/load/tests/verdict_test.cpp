#include "lagoonquay/load/verdict.hpp"

#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

planned_job planned(expectation expected)
{
    planned_job_options it;
    it.work =
        job({.submission = submission_id("r-1"), .tasks = {task(), task()}});
    it.expected = expected;
    return planned_job(it);
}

task_result result(std::uint64_t index, const std::string& body)
{
    return task_result(
        {.index = task_index(index), .ran = effect::ran, .body = body});
}

job_answer complete(std::vector<task_result> results)
{
    return job_answer({.submission = submission_id("r-1"),
                       .ran = effect::ran,
                       .results = std::move(results)});
}

job_answer failed(failure_reason reason, effect ran)
{
    return refusal(submission_id("r-1"), reason, ran, "why");
}

const auto whole = complete({result(0, "r-1/0 done"), result(1, "r-1/1 done")});

TEST(verdict, takes_a_whole_answer_as_complete)
{
    EXPECT_EQ(judge(planned(expectation::complete), whole), verdict::complete);
}

TEST(verdict, calls_partial_crossed_and_foreign_answers_wrong)
{
    const auto plan = planned(expectation::complete);
    EXPECT_EQ(judge(plan, complete({result(0, "r-1/0 done")})), verdict::wrong);
    EXPECT_EQ(judge(plan, complete({result(0, "r-1/0 done"),
                                    result(1, "r-2/1 done")})),
              verdict::wrong);
    const auto foreign =
        whole.with([](auto& it) { it.submission = submission_id("r-2"); });
    EXPECT_EQ(judge(plan, foreign), verdict::wrong);
}

TEST(verdict, calls_success_of_a_job_that_can_never_run_wrong)
{
    EXPECT_EQ(judge(planned(expectation::impossible), whole), verdict::wrong);
    EXPECT_EQ(judge(planned(expectation::task_fails), whole), verdict::wrong);
    EXPECT_EQ(judge(planned(expectation::cancelled), whole), verdict::complete);
}

TEST(verdict, tells_planned_failures_from_refusals_and_failures)
{
    const auto reason = failure_reason::impossible_need;
    EXPECT_EQ(judge(planned(expectation::impossible),
                    failed(reason, effect::not_run)),
              verdict::failed_as_planned);
    EXPECT_EQ(
        judge(planned(expectation::complete), failed(reason, effect::not_run)),
        verdict::refused_not_run);
    EXPECT_EQ(judge(planned(expectation::complete),
                    failed(failure_reason::deadline, effect::unknown)),
              verdict::failed);
    EXPECT_EQ(judge(planned(expectation::complete), std::nullopt),
              verdict::lost);
}

TEST(start_report, counts_starts_beyond_the_first_of_a_task)
{
    const auto found = count_starts(
        {"r-1 0 65537", "r-1 1 65537", "r-1 0 131073", "q-1 0 65537", "r-2"},
        "r-");
    EXPECT_EQ(found.starts, 3U);
    EXPECT_EQ(found.doubled, 1U);
    EXPECT_EQ(found.started_jobs, (std::set<std::string>{"r-1"}));
}

} // namespace

} // namespace lagoonquay::load
