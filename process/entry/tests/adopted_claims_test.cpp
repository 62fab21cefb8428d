// What an entry tells replicas of a claim that it took over from another.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against a replica that restores such a claim and then hides the agents
// of the first holder, whose runs may go on, from the next one.
TEST(adopted_claims, are_reported_with_the_agents_of_the_earlier_holders)
{
    fake_fleet fleet({.agents = 2, .slots = 1});
    fleet.run_time = [](const upstream_call&)
    {
        return seconds(10);
    };
    const job work({.submission = submission_id("s"),
                    .customer = customer_id("c"),
                    .created = fleet.wall(),
                    .time_limit = seconds(20),
                    .idempotent = true,
                    .tasks = std::vector<task>(1)});
    fleet.submit(0, work);
    fleet.run_for(milliseconds(50));
    const std::size_t busy = fleet.agent(0).running() > 0 ? 0 : 1;
    EXPECT_EQ(fleet.agent(busy).running(), 1U);
    const auto earlier = fleet.entry(0).held_claims();
    ASSERT_EQ(earlier.size(), 1U);
    EXPECT_EQ(earlier.front()->reach.size(), 2U);
    fleet.separate(1, busy, true);
    fleet.kill_entry(0);
    fleet.submit(1, work);
    fleet.run_for(milliseconds(1500));
    const auto adopted = fleet.entry(1).held_claims();
    ASSERT_EQ(adopted.size(), 1U);
    EXPECT_EQ(adopted.front()->round, claim_round(2));
    for (const auto& it : earlier.front()->reach)
        EXPECT_TRUE(adopted.front()->reach.contains(it)) << it.agent.text();
}

} // namespace lagoonquay
