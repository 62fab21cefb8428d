#include "lagoonquay/connection/slot_grants.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const link_number first(1);
const link_number second(2);

TEST(slot_grants, divides_idle_slots_evenly)
{
    slot_grants grants(8);
    grants.open(first);
    grants.open(second);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 2U);
    EXPECT_EQ(changed[0].credits_total, 4U);
    EXPECT_EQ(changed[1].credits_total, 4U);
}

TEST(slot_grants, never_grants_more_than_the_slots)
{
    slot_grants grants(2);
    grants.open(first);
    grants.rebalance();
    EXPECT_TRUE(grants.start(first));
    EXPECT_TRUE(grants.start(first));
    EXPECT_FALSE(grants.start(first));
    EXPECT_TRUE(grants.rebalance().empty());
    grants.finish();
    EXPECT_EQ(grants.rebalance().front().credits_total, 3U);
}

TEST(slot_grants, recalls_idle_credits_for_a_waiting_link)
{
    slot_grants grants(4);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    grants.demand(second, 3, 0);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].link, first);
    EXPECT_EQ(changed[0].recalled_total, 3U);
    grants.demand(first, 0, 3);
    EXPECT_EQ(grants.rebalance().front().credits_total, 3U);
}

TEST(slot_grants, frees_the_credits_of_a_closed_link)
{
    slot_grants grants(4);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    EXPECT_TRUE(grants.rebalance().empty());
    grants.close(first);
    EXPECT_EQ(grants.rebalance().front().credits_total, 4U);
}

} // namespace

} // namespace lagoonquay
