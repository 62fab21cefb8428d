#include "lagoonquay/request/job_run.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

job two_tasks()
{
    return job({.submission = submission_id("s"),
                .customer = customer_id("c"),
                .tasks = {task({.kind = "a"}), task({.kind = "b"})}});
}

task_result success(std::uint64_t index)
{
    return task_result({.index = task_index(index),
                        .reason = failure_reason::none,
                        .ran = effect::ran,
                        .body = "done"});
}

const agent_id agent("agent");
const incarnation agent_run(7);

TEST(job_run, answers_only_when_every_task_is_finished)
{
    job_run run(two_tasks());
    const auto first = run.dispatch(task_index(0), agent, agent_run);
    const auto second = run.dispatch(task_index(1), agent, agent_run);
    EXPECT_TRUE(run.record(first, success(0)));
    EXPECT_FALSE(run.answer().has_value());
    EXPECT_TRUE(run.record(second, success(1)));
    ASSERT_TRUE(run.answer().has_value());
    EXPECT_TRUE(succeeded(*run.answer()));
    EXPECT_EQ((*run.answer())->results.size(), 2U);
}

TEST(job_run, drops_doubled_late_and_crossed_results)
{
    job_run run(two_tasks());
    const auto key = run.dispatch(task_index(0), agent, agent_run);
    auto crossed = key;
    crossed.agent_run = incarnation(8);
    EXPECT_FALSE(run.record(crossed, success(0)));
    EXPECT_TRUE(run.record(key, success(0)));
    EXPECT_FALSE(run.record(key, success(0)));
    EXPECT_EQ(run.finished_count(), 1U);
}

TEST(job_run, a_start_may_run_late_until_it_is_answered_or_too_old)
{
    const instant start_end(std::chrono::seconds(15));
    const attempt_start open{start_answer::unanswered, start_end};
    const auto before = start_end - duration(1);
    job_run run(two_tasks());
    const auto untold = run.dispatch(task_index(0), agent, agent_run);
    const auto first = run.dispatch(task_index(1), agent, agent_run, open);
    EXPECT_FALSE(run.may_run_late(untold, before));
    EXPECT_TRUE(run.may_run_late(first, before));
    EXPECT_FALSE(run.may_run_late(first, start_end));
    EXPECT_EQ(run.note_held(first), start_end);
    EXPECT_EQ(run.note_held(first), std::nullopt);
    run.note_begun(first);
    EXPECT_FALSE(run.may_run_late(first, before));
    EXPECT_TRUE(run.requeue(first));
    const auto second = run.dispatch(task_index(1), agent, agent_run, open);
    run.note_begun(first);
    EXPECT_FALSE(run.may_run_late(first, before));
    EXPECT_TRUE(run.may_run_late(second, before));
    EXPECT_EQ(run.note_held(second), start_end);
}

TEST(job_run, a_report_tells_whether_the_adopted_start_may_run_late)
{
    const instant start_end(std::chrono::seconds(15));
    const auto before = start_end - duration(1);
    job_run run(two_tasks());
    const attempt_key key{task_index(0), attempt_number(1), agent, agent_run};
    const attempt_report asked{.reported = key,
                               .started = true,
                               .start = {start_answer::unanswered, start_end}};
    EXPECT_EQ(run.take_report(asked), report_outcome::adopted);
    EXPECT_TRUE(run.may_run_late(key, before));
    auto begun = asked;
    begun.start.answer = start_answer::begun;
    EXPECT_EQ(run.take_report(begun), report_outcome::confirmed);
    EXPECT_FALSE(run.may_run_late(key, before));
    EXPECT_EQ(run.take_report(asked), report_outcome::confirmed);
    EXPECT_FALSE(run.may_run_late(key, before));
}

TEST(job_run, a_result_of_an_earlier_attempt_does_not_count)
{
    job_run run(two_tasks());
    const auto first = run.dispatch(task_index(0), agent, agent_run);
    EXPECT_TRUE(run.requeue(first));
    const auto second = run.dispatch(task_index(0), agent, agent_run);
    EXPECT_FALSE(run.record(first, success(0)));
    EXPECT_TRUE(run.record(second, success(0)));
}

TEST(job_run, a_failed_job_shows_no_results)
{
    job_run run(two_tasks());
    const auto first = run.dispatch(task_index(0), agent, agent_run);
    run.record(first, success(0));
    run.abandon(failure_reason::deadline, "late");
    const auto answer = run.answer();
    ASSERT_TRUE(answer.has_value());
    EXPECT_FALSE(succeeded(*answer));
    EXPECT_TRUE((*answer)->results.empty());
    EXPECT_EQ((*answer)->ran, effect::ran);
    EXPECT_EQ((*answer)->failures.size(), 1U);
}

TEST(job_run, abandon_says_unknown_only_of_dispatched_tasks)
{
    job_run run(two_tasks());
    run.dispatch(task_index(0), agent, agent_run);
    run.abandon(failure_reason::deadline, "late");
    const auto failures = (*run.answer())->failures;
    EXPECT_EQ(failures[0]->ran, effect::unknown);
    EXPECT_EQ(failures[1]->ran, effect::not_run);
}

TEST(job_run, a_failed_run_is_tried_again_within_the_jobs_attempts)
{
    const auto work =
        two_tasks().with([](job_options& it) { it.attempts = 2; });
    job_run run(work);
    const auto first = run.dispatch(task_index(0), agent, agent_run);
    EXPECT_TRUE(run.retry_failed(first));
    EXPECT_FALSE(run.retry_failed(first));
    const auto second = run.dispatch(task_index(0), agent, agent_run);
    EXPECT_FALSE(run.retry_failed(second));
    EXPECT_TRUE(run.record(second, success(0)));
}

//! Reports of one agent on the first task, after two dispatches there.
class reports : public testing::Test
{
protected:
    report_outcome started(const attempt_key& key, const attempt_key& asked)
    {
        return run.take_report(
            {.reported = key, .started = true, .forbidden = asked.attempt});
    }

    attempt_key dispatch()
    {
        return run.dispatch(task_index(0), agent, agent_run);
    }

    job_run run{two_tasks()};
    attempt_key first = dispatch();
};

TEST_F(reports, of_an_ended_attempt_change_nothing_while_the_task_waits)
{
    run.retry(first, attempt_end::reported);
    EXPECT_EQ(started(first, first), report_outcome::unchanged);
    EXPECT_TRUE(run.is_waiting(task_index(0)));
}

TEST_F(reports, of_a_lost_attempt_are_taken_over_while_the_task_waits)
{
    run.retry(first, attempt_end::lost);
    EXPECT_EQ(started(first, first), report_outcome::adopted);
    EXPECT_TRUE(run.record(first, success(0)));
}

TEST_F(reports, of_a_lost_attempt_wait_for_proof_against_the_current_one)
{
    run.retry(first, attempt_end::lost);
    const auto second = dispatch();
    EXPECT_EQ(started(first, first), report_outcome::ignored);
    EXPECT_EQ(run.current(task_index(0)), second);
    EXPECT_EQ(started(first, second), report_outcome::adopted);
    EXPECT_EQ(run.current(task_index(0)), first);
}

TEST_F(reports, of_an_ended_attempt_return_one_that_they_forbid)
{
    run.retry(first, attempt_end::reported);
    const auto second = dispatch();
    EXPECT_EQ(started(first, second), report_outcome::waits_again);
    EXPECT_EQ(started(first, second), report_outcome::unchanged);
    EXPECT_GT(dispatch().attempt, second.attempt);
}

TEST_F(reports, of_another_process_of_the_agent_change_no_dispatched_task)
{
    auto other = first;
    other.agent_run = incarnation(8);
    EXPECT_EQ(started(other, first), report_outcome::unchanged);
}

} // namespace

} // namespace lagoonquay
