#include "lagoonquay/version/command.hpp"
#include "lagoonquay/version/permit.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const domain_id south("south-1");
const instant sent(std::chrono::seconds(10));

fleet_view view_of(std::uint64_t version, std::set<domain_id> out)
{
    return fleet_view(
        {.version = version_number(version), .out_domains = std::move(out)});
}

permit_vote vote(const std::string& replica, std::uint64_t version)
{
    return {.replica = replica_id(replica), .version = version_number(version)};
}

TEST(permit, needs_a_majority)
{
    const fleet_view known;
    EXPECT_FALSE(merge_votes({vote("a", 0)}, 3, known, sent));
    EXPECT_TRUE(merge_votes({vote("a", 0), vote("b", 0)}, 3, known, sent));
}

TEST(permit, counts_an_uncommitted_out_as_out)
{
    auto pending = vote("b", 0);
    pending.pending_out.insert(south);
    const auto merged =
        merge_votes({vote("a", 0), pending}, 3, fleet_view(), sent);
    ASSERT_TRUE(merged.has_value());
    EXPECT_FALSE(allows_start(*merged, agent_id("x"), south, sent));
    EXPECT_TRUE(allows_start(*merged, agent_id("x"), domain_id("other"), sent));
}

TEST(permit, needs_the_newest_view_that_any_vote_names)
{
    auto newer = vote("b", 2);
    EXPECT_FALSE(merge_votes({vote("a", 1), newer}, 3, view_of(1, {}), sent));
    newer.view = view_of(2, {south});
    const auto merged =
        merge_votes({vote("a", 1), newer}, 3, view_of(1, {}), sent);
    ASSERT_TRUE(merged.has_value());
    EXPECT_TRUE((*merged)->out_domains.contains(south));
}

TEST(permit, runs_from_the_time_of_the_request)
{
    const auto merged =
        merge_votes({vote("a", 0), vote("b", 0)}, 3, fleet_view(), sent);
    const auto end = sent + permit_duration;
    EXPECT_FALSE(allows_start(*merged, agent_id("x"), south, end));
    EXPECT_TRUE(allows_start(*merged, agent_id("x"), south, end - duration(1)));
}

TEST(fleet_state, one_of_two_racing_commands_wins)
{
    fleet_state state;
    const command first({.id = command_id("1"),
                         .author = "ann",
                         .expected = version_number(0),
                         .what = set_domain{south, false}});
    const command second({.id = command_id("2"),
                          .author = "ben",
                          .expected = version_number(0),
                          .what = set_domain{south, true}});
    EXPECT_TRUE(state.apply(first).accepted);
    const auto loser = state.apply(second);
    EXPECT_FALSE(loser.accepted);
    EXPECT_EQ(loser.author, "ann");
    EXPECT_EQ(loser.version, version_number(1));
}

TEST(fleet_state, a_resent_command_gets_its_first_outcome)
{
    fleet_state state;
    const command first({.id = command_id("1"),
                         .expected = version_number(0),
                         .what = set_domain{south, false}});
    const auto outcome = state.apply(first);
    EXPECT_EQ(state.apply(first), outcome);
    EXPECT_EQ(state.view()->version, version_number(1));
}

TEST(permit, may_be_kept_once_it_has_run_out)
{
    const permit held({.valid_until = sent + permit_duration});
    const auto later = sent + 2 * permit_duration;
    const agent_id agent("a");
    const domain_id domain("d");
    const auto expires = permit_time(held, permit_policy::expire, later);
    EXPECT_FALSE(allows_start(held, agent, domain, expires));
    const auto kept = permit_time(held, permit_policy::keep, later);
    EXPECT_TRUE(allows_start(held, agent, domain, kept));
    const permit out({.out_domains = {domain}, .valid_until = sent});
    EXPECT_FALSE(allows_start(out, agent, domain,
                              permit_time(out, permit_policy::keep, later)));
}

} // namespace

} // namespace lagoonquay
