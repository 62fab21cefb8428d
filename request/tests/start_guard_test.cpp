#include "lagoonquay/request/start_guard.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const incarnation this_run(3);
const instant start(std::chrono::seconds(100));

dispatch_message dispatch(std::uint64_t attempt)
{
    dispatch_message it;
    it.submission = submission_id("s");
    it.key = {.index = task_index(0),
              .attempt = attempt_number(attempt),
              .agent = agent_id("a"),
              .agent_run = this_run};
    it.start_before = start + std::chrono::seconds(5);
    return it;
}

const task_key key{submission_id("s"), task_index(0)};

TEST(start_guard, starts_a_task_once)
{
    start_guard guard({.agent_run = this_run});
    EXPECT_EQ(guard.try_start(dispatch(1), start), start_verdict::start);
    EXPECT_EQ(guard.try_start(dispatch(1), start), start_verdict::duplicate);
    EXPECT_EQ(guard.try_start(dispatch(2), start), start_verdict::duplicate);
}

TEST(start_guard, repeats_only_a_later_attempt_of_a_repeatable_task)
{
    start_guard guard({.agent_run = this_run});
    auto again = dispatch(2);
    again.repeatable = true;
    EXPECT_EQ(guard.try_start(again, start), start_verdict::start);
    EXPECT_EQ(guard.try_start(again, start), start_verdict::duplicate);
    auto third = again;
    third.key.attempt = attempt_number(3);
    guard.finish(key, attempt_number(2), task_result(), start);
    EXPECT_EQ(guard.try_start(third, start), start_verdict::start);
}

// Its entry had given it up, and it went on.
TEST(start_guard, starts_no_later_attempt_while_one_runs)
{
    start_guard guard({.agent_run = this_run});
    auto again = dispatch(2);
    again.repeatable = true;
    EXPECT_EQ(guard.try_start(again, start), start_verdict::start);
    again.key.attempt = attempt_number(3);
    EXPECT_EQ(guard.try_start(again, start), start_verdict::duplicate);
    guard.finish(key, attempt_number(2),
                 task_result({.reason = failure_reason::link_lost}), start);
    EXPECT_EQ(guard.try_start(again, start), start_verdict::start);
}

TEST(start_guard, a_tombstone_forbids_earlier_attempts_only)
{
    start_guard guard({.agent_run = this_run});
    EXPECT_TRUE(guard.forbid(key, attempt_number(4), start));
    EXPECT_EQ(guard.try_start(dispatch(4), start), start_verdict::fenced);
    EXPECT_EQ(guard.try_start(dispatch(5), start), start_verdict::start);
    EXPECT_FALSE(guard.forbid(key, attempt_number(9), start));
}

// A run that lasted longer than records are kept was told as not started.
TEST(start_guard, keeps_the_record_of_a_run_that_goes_on)
{
    start_guard guard({.agent_run = this_run});
    guard.try_start(dispatch(1), start);
    const auto later = start + std::chrono::hours(1);
    guard.expire(later);
    EXPECT_EQ(guard.query(key, attempt_number(1), later).state,
              start_state::running);
    guard.finish(key, attempt_number(1), task_result(), later);
    guard.expire(later + std::chrono::hours(1));
    EXPECT_EQ(guard.size(), 0U);
}

TEST(start_guard, starts_nothing_after_the_claim_ran_out)
{
    start_guard guard({.agent_run = this_run});
    const auto late = start + std::chrono::seconds(5);
    EXPECT_EQ(guard.try_start(dispatch(1), late), start_verdict::claim_expired);
    EXPECT_EQ(guard.size(), 0U);
}

TEST(start_guard, refuses_what_is_addressed_to_another_run)
{
    start_guard guard({.agent_run = incarnation(4)});
    EXPECT_EQ(guard.try_start(dispatch(1), start),
              start_verdict::wrong_agent_run);
}

} // namespace

} // namespace lagoonquay
