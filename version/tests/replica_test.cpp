#include "fake_cluster.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr unsigned long_enough = 100; // steps for an election or a repair

command take_out(unsigned number)
{
    const auto text = std::to_string(number);
    return command({.id = command_id(text),
                    .author = "ann",
                    .expected = std::nullopt,
                    .what = set_domain{domain_id("d" + text), false}});
}

std::size_t other_than(std::size_t slot)
{
    return (slot + 1) % fake_cluster::size;
}

TEST(replica, elects_one_leader_and_commits)
{
    fake_cluster all(1);
    all.steps(long_enough);
    ASSERT_TRUE(all.leader());
    EXPECT_TRUE(all.propose(*all.leader(), take_out(1)));
    all.steps(10);
    for (std::size_t n = 0; n < fake_cluster::size; ++n)
        EXPECT_EQ(all.state(n).view()->version, version_number(1));
    EXPECT_EQ(all.broken(), "");
}

TEST(replica, empty_replicas_never_elect_a_leader)
{
    fake_cluster all(1, false);
    all.steps(5 * long_enough);
    EXPECT_FALSE(all.leader());
}

TEST(replica, an_isolated_leader_steps_down_and_commits_nothing)
{
    fake_cluster all(2);
    all.steps(long_enough);
    const auto old = *all.leader();
    all.isolate(old);
    all.propose(old, take_out(1));
    all.steps(long_enough);
    EXPECT_NE(all.status(old).role, replica_role::leader);
    EXPECT_EQ(all.reported().size(), 0);
    ASSERT_TRUE(all.leader());
    EXPECT_TRUE(all.propose(*all.leader(), take_out(2)));
    all.steps(10);
    EXPECT_EQ(all.reported().size(), 1);
}

TEST(replica, one_that_was_isolated_does_not_depose_the_leader)
{
    fake_cluster all(3);
    all.steps(long_enough);
    const auto lead = *all.leader();
    const auto term = all.status(lead).state.term;
    all.isolate(other_than(lead));
    all.steps(3 * long_enough);
    all.heal();
    all.steps(long_enough);
    EXPECT_EQ(all.leader(), lead);
    EXPECT_EQ(all.status(lead).state.term, term);
}

TEST(replica, a_frozen_leader_that_wakes_commits_nothing)
{
    fake_cluster all(4);
    all.steps(long_enough);
    const auto old = *all.leader();
    all.freeze(old);
    all.steps(long_enough);
    ASSERT_TRUE(all.leader());
    all.propose(*all.leader(), take_out(1));
    all.steps(10);
    all.wake(old);
    all.propose(old, take_out(2));
    all.steps(long_enough);
    EXPECT_EQ(all.broken(), "");
    EXPECT_TRUE(all.reported().contains(command_id("1")));
    EXPECT_FALSE(all.reported().contains(command_id("2")));
}

TEST(replica, hand_over_moves_leadership_without_a_pause)
{
    fake_cluster all(5);
    all.steps(long_enough);
    const auto old = *all.leader();
    all.hand_over(old);
    all.steps(8); // less than the shortest election timeout
    ASSERT_TRUE(all.leader());
    EXPECT_NE(all.leader(), old);
}

TEST(replica, a_wiped_replica_is_a_learner_until_it_holds_the_data)
{
    fake_cluster all(6);
    all.steps(long_enough);
    for (unsigned n = 0; n < 60; ++n)
    {
        all.propose(*all.leader(), take_out(n));
        all.step();
    }
    const auto slot = other_than(*all.leader());
    all.wipe(slot);
    for (unsigned n = 0; n < 3 * long_enough && !all.whole(); ++n)
    {
        const auto known = all.status(slot);
        const bool holds = all.state(slot).view()->version.number() >= 60;
        EXPECT_FALSE(known.voter && !holds);
        EXPECT_FALSE(all.votes(slot) && !holds);
        all.step();
    }
    EXPECT_TRUE(all.whole());
    EXPECT_EQ(all.broken(), "");
}

TEST(replica, a_wiped_replica_gives_no_vote_to_a_lagging_candidate)
{
    fake_cluster all(7);
    all.steps(long_enough);
    const auto lead = *all.leader();
    const auto lagging = other_than(lead);
    const auto holder = other_than(lagging);
    all.isolate(lagging);
    all.propose(lead, take_out(1));
    all.steps(10);
    ASSERT_TRUE(all.reported().contains(command_id("1")));
    all.crash(lead);
    all.wipe(holder);
    all.heal();
    all.steps(5 * long_enough);
    EXPECT_FALSE(all.leader());
    all.restart(lead);
    all.steps(5 * long_enough);
    EXPECT_TRUE(all.whole());
    EXPECT_EQ(all.broken(), "");
}

TEST(replica, a_second_loss_right_after_a_repair_loses_nothing)
{
    for (unsigned seed = 0; seed < 20; ++seed)
    {
        fake_cluster all(seed);
        all.steps(long_enough);
        for (unsigned n = 0; n < 30; ++n)
        {
            all.propose(*all.leader(), take_out(n));
            all.step();
        }
        all.steps(10);
        const auto acknowledged = all.reported();
        const auto lead = *all.leader();
        all.wipe(other_than(lead));
        for (unsigned n = 0; n < 5 * long_enough && !all.whole(); ++n)
            all.step();
        ASSERT_TRUE(all.whole());
        all.wipe(lead);
        all.steps(5 * long_enough);
        ASSERT_TRUE(all.whole()) << "seed " << seed;
        for (const auto& [id, outcome] : acknowledged)
            EXPECT_EQ(all.state(lead).outcome_of(id), outcome);
        EXPECT_EQ(all.broken(), "");
    }
}

// The others are a majority, and the leader counts itself only once synced.
TEST(replica, commands_commit_under_a_leader_whose_disk_hangs)
{
    for (unsigned seed = 0; seed < 20; ++seed)
    {
        fake_cluster all(seed);
        all.steps(long_enough);
        const auto lead = *all.leader();
        all.hang_disk(lead, true);
        ASSERT_TRUE(all.propose(lead, take_out(1)));
        all.steps(long_enough);
        EXPECT_EQ(all.reported().size(), 1U) << "seed " << seed;
        const auto acknowledged = all.reported();
        all.crash(lead);
        all.hang_disk(lead, false);
        all.restart(lead);
        all.steps(long_enough);
        for (const auto& [id, outcome] : acknowledged)
            EXPECT_EQ(all.state(lead).outcome_of(id), outcome);
        EXPECT_EQ(all.broken(), "");
    }
}

TEST(replica, all_crash_at_once_and_lose_nothing_acknowledged)
{
    fake_cluster all(8);
    all.steps(long_enough);
    for (unsigned n = 0; n < 45; ++n)
    {
        all.propose(*all.leader(), take_out(n));
        all.step();
    }
    const auto acknowledged = all.reported();
    for (std::size_t n = 0; n < fake_cluster::size; ++n)
        all.crash(n);
    for (std::size_t n = 0; n < fake_cluster::size; ++n)
        all.restart(n);
    all.steps(long_enough);
    for (const auto& [id, outcome] : acknowledged)
        EXPECT_EQ(all.state(0).outcome_of(id), outcome);
    EXPECT_EQ(all.broken(), "");
}

} // namespace

} // namespace lagoonquay
