// Tests of an entry with several links to one agent: results and statuses of
// one attempt arrive doubled and in any order.
#include "linked_entry.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class two_links : public testing::Test
{
protected:
    two_links()
    {
        older = fleet.open(0);
        fleet.submit(1, 3);
        fleet.run_for(milliseconds(20));
    }

    //! Ends the first attempt as one that may have run, so that the task is
    //! dispatched again.
    attempt_key retry_first()
    {
        const auto first = fleet.dispatched().at(0);
        fleet.deliver(older, fleet.result(first, failure_reason::link_lost));
        fleet.run_for(milliseconds(500));
        return first;
    }

    //! Loses the link for longer than the grace period, and opens another.
    attempt_key lose_first()
    {
        const auto first = fleet.dispatched().at(0);
        fleet.close(older);
        fleet.run_for(seconds(2));
        older = fleet.open(0);
        fleet.run_for(milliseconds(500));
        return first;
    }

    void expect_success()
    {
        fleet.run_for(milliseconds(100));
        ASSERT_EQ(fleet.answers().size(), 1U);
        EXPECT_TRUE(succeeded(fleet.answers().front()));
    }

    linked_entry fleet;
    std::shared_ptr<recorded_link> older;
};

// Guards against an adoption of an attempt that was retried already.
TEST_F(two_links, a_late_status_does_not_replace_the_current_attempt)
{
    const auto first = retry_first();
    ASSERT_EQ(fleet.dispatched().size(), 2U);
    const auto second = fleet.dispatched().at(1);
    fleet.deliver(older, fleet.status(first, first, start_state::running));
    fleet.deliver(older, fleet.result(second, failure_reason::none));
    expect_success();
}

// The status doesn't cover the second attempt, which may start any moment.
TEST_F(two_links, a_lost_attempt_does_not_replace_one_that_may_start)
{
    const auto first = lose_first();
    ASSERT_EQ(fleet.dispatched().size(), 2U);
    const auto second = fleet.dispatched().at(1);
    fleet.deliver(older, fleet.status(first, first, start_state::finished,
                                      failure_reason::link_lost));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.dispatched().size(), 2U);
    fleet.deliver(older, fleet.result(second, failure_reason::none));
    expect_success();
}

TEST_F(two_links, a_lost_attempt_that_goes_on_is_adopted_and_never_doubled)
{
    const auto first = lose_first();
    ASSERT_EQ(fleet.dispatched().size(), 2U);
    const auto second = fleet.dispatched().at(1);
    fleet.deliver(older, fleet.status(first, second, start_state::running));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.dispatched().size(), 2U);
    fleet.deliver(older, fleet.result(first, failure_reason::none));
    expect_success();
}

// Guards against a second dispatch under the number of an earlier one.
TEST_F(two_links, no_attempt_number_is_given_out_twice)
{
    const auto first = lose_first();
    ASSERT_EQ(fleet.dispatched().size(), 2U);
    const auto second = fleet.dispatched().at(1);
    fleet.deliver(older, fleet.status(first, second, start_state::running));
    fleet.deliver(older, fleet.result(first, failure_reason::link_lost));
    fleet.run_for(milliseconds(500));
    ASSERT_EQ(fleet.dispatched().size(), 3U);
    EXPECT_GT(fleet.dispatched().at(2).attempt, second.attempt);
}

// Guards against a second dispatch beside the run of the first retry.
TEST_F(two_links, an_end_that_comes_as_result_and_as_status_counts_once)
{
    const auto first = retry_first();
    fleet.deliver(older, fleet.status(first, first, start_state::finished,
                                      failure_reason::link_lost));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.service().counts().retried, 1U);
}

// An agent that declines the retry tells of the first attempt once more.
TEST_F(two_links, a_retry_that_is_declined_counts_no_second_end)
{
    const auto first = retry_first();
    ASSERT_EQ(fleet.dispatched().size(), 2U);
    const auto second = fleet.dispatched().at(1);
    fleet.deliver(older, fleet.status(first, second, start_state::finished,
                                      failure_reason::link_lost));
    fleet.deliver(older, fleet.result(second, failure_reason::no_permit));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.service().counts().retried, 1U);
    EXPECT_EQ(fleet.service().counts().requeued, 1U);
    EXPECT_EQ(fleet.dispatched().size(), 3U);
}

// An attempt that was declined has ended, whatever comes later of it.
TEST_F(two_links, a_declined_attempt_that_is_reported_again_counts_once)
{
    const auto first = fleet.dispatched().at(0);
    fleet.deliver(older, fleet.result(first, failure_reason::no_permit));
    fleet.deliver(older, fleet.status(first, first, start_state::finished,
                                      failure_reason::no_permit));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.service().counts().requeued, 1U);
    EXPECT_EQ(fleet.dispatched().size(), 2U);
}

TEST_F(two_links, a_doubled_end_uses_up_no_second_retry_of_the_budget)
{
    const auto first = retry_first();
    fleet.deliver(older, fleet.result(first, failure_reason::link_lost));
    fleet.deliver(older, fleet.status(first, first, start_state::finished,
                                      failure_reason::link_lost));
    EXPECT_EQ(fleet.retries_asked, 1U);
}

// Guards against the loss of the newer link when the older one's end is heard.
TEST_F(two_links, the_close_of_the_older_leaves_the_newer_in_use)
{
    const auto newer = fleet.open(0);
    fleet.close(older);
    fleet.run_for(seconds(3));
    EXPECT_EQ(fleet.service().counts().retried, 0U);
    const auto first = fleet.dispatched().at(0);
    fleet.deliver(newer, fleet.result(first, failure_reason::link_lost));
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(fleet.dispatched().size(), 2U);
}

// Guards against a task that nobody asks for: its dispatch may be lost with the
// older link.
TEST_F(two_links, the_newer_is_asked_for_what_the_older_was_sent)
{
    const auto newer = fleet.open(0);
    const auto asked =
        std::count_if(newer->sent.begin(), newer->sent.end(),
                      [](const link_message& it)
                      { return std::holds_alternative<query_message>(it); });
    EXPECT_EQ(asked, 1);
}

} // namespace

} // namespace lagoonquay
