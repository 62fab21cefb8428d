// A restarted ledger replica collects the claims that other entries hold.
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"

#include <gtest/gtest.h>
#include <map>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint first_peer{"10.0.0.1", 1};
const endpoint second_peer{"10.0.0.2", 1};

class recovering : public testing::Test
{
protected:
    ledger_recovery_hooks hooks()
    {
        return {.now = [this] { return now; },
                .peers = [this] { return peers; },
                .ask = [this](const endpoint& it, held_claims_hook answer)
                { asked[it] = std::move(answer); },
                .remember = [this](const claim_request& it)
                { remembered.push_back(it); },
                .none_stray = [this] { return none_stray; },
                .done =
                    [this]
                {
                    ++done;
                }};
    }

    instant now{};
    std::optional<std::vector<endpoint>> peers;
    std::map<endpoint, held_claims_hook> asked;
    std::vector<claim_request> remembered;
    bool none_stray = false;
    int done = 0;
    ledger_recovery recovery{{}, hooks()};
};

TEST_F(recovering, waits_for_every_peer_and_for_dead_ones_runs)
{
    peers = {first_peer, second_peer};
    recovery.tick();
    ASSERT_EQ(asked.size(), 2U);
    const claim_request claim({.submission = submission_id("s")});
    asked[first_peer](held_claims{.gone = false, .claims = {claim}});
    now += seconds(2);
    recovery.tick();
    EXPECT_EQ(done, 0);
    asked[second_peer](held_claims{.gone = true, .claims = {}});
    recovery.tick();
    EXPECT_EQ(done, 0);
    now += milliseconds(1500);
    recovery.tick();
    EXPECT_EQ(done, 1);
    EXPECT_EQ(remembered, std::vector<claim_request>{claim});
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(recovering, is_not_complete_before_control_has_named_anyone)
{
    now += seconds(3);
    recovery.tick();
    EXPECT_EQ(done, 0);
    peers.emplace();
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(recovering, asks_again_a_peer_that_did_not_answer)
{
    peers = {first_peer};
    recovery.tick();
    asked[first_peer](std::nullopt);
    asked.clear();
    now += seconds(2);
    recovery.tick();
    EXPECT_EQ(done, 0);
    EXPECT_EQ(asked.size(), 1U);
}

TEST_F(recovering, is_not_complete_while_runs_of_dead_entries_may_go_on)
{
    peers.emplace();
    now += milliseconds(1400);
    recovery.tick();
    EXPECT_EQ(done, 0);
}

TEST_F(recovering, is_soon_complete_once_no_run_of_an_earlier_life_is_left)
{
    peers = {first_peer};
    recovery.tick();
    asked[first_peer](held_claims{.settled = false});
    now += milliseconds(800);
    none_stray = true;
    recovery.tick();
    EXPECT_EQ(done, 0) << "an old life of the peer may have runs";
    asked[first_peer](held_claims{.settled = true});
    none_stray = false;
    recovery.tick();
    EXPECT_EQ(done, 0) << "an agent has a run of an entry that is gone";
    none_stray = true;
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(recovering, waits_until_control_can_have_named_everyone)
{
    peers = {first_peer};
    none_stray = true;
    recovery.tick();
    asked[first_peer](held_claims{.settled = true});
    now += milliseconds(600);
    recovery.tick();
    EXPECT_EQ(done, 0);
    now += milliseconds(100);
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(recovering, of_a_peer_that_is_gone_waits_for_the_end_of_its_runs)
{
    peers = {first_peer};
    none_stray = true;
    recovery.tick();
    asked[first_peer](held_claims{.gone = true});
    now += milliseconds(1400);
    recovery.tick();
    EXPECT_EQ(done, 0);
    now += milliseconds(100);
    recovery.tick();
    EXPECT_EQ(done, 1);
}

member named(const std::string& address)
{
    return member(
        {.role = member_role::entry, .id = address, .address = address});
}

TEST(entry_peers, keeps_a_peer_for_longer_than_its_claims_hold)
{
    instant now{};
    entry_peers peers("10.0.0.9:1", seconds(3), [&now] { return now; });
    EXPECT_FALSE(peers.known());
    peers.learn({named("10.0.0.9:1"), named("10.0.0.1:1")});
    EXPECT_TRUE(peers.known());
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
    now += seconds(3);
    peers.learn({named("10.0.0.9:1")});
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
    now += milliseconds(1);
    peers.learn({named("10.0.0.9:1")});
    EXPECT_TRUE(peers.current().empty());
}

// An entry that dropped all its peers would decide on claims by itself.
TEST(entry_peers, are_kept_while_control_is_silent)
{
    instant now{};
    entry_peers peers("10.0.0.9:1", seconds(3), [&now] { return now; });
    peers.learn({named("10.0.0.9:1"), named("10.0.0.1:1")});
    now += std::chrono::hours(1);
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
}

} // namespace

} // namespace lagoonquay
