// Tests of an entry with several links to one agent: results and statuses of
// one attempt arrive doubled and in any order.
#include "linked_entry.hpp"

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

} // namespace

} // namespace lagoonquay
