// A restarted ledger replica collects the claims that other entries hold.
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"

#include <gtest/gtest.h>
#include <map>
#include <utility>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint first_peer{"10.0.0.1", 1};
const endpoint second_peer{"10.0.0.2", 1};

class ledger_recovery_test : public testing::Test
{
protected:
    ledger_recovery_hooks hooks()
    {
        return {.now = [this] { return now; },
                .peers = [this] { return peers; },
                .ask = [this](const endpoint& it, held_claims_hook answer)
                { asked[it] = std::move(answer); },
                .restore_claim = [this](const claim_request& it)
                { remembered.push_back(it); },
                .ask_for_records =
                    [this](const endpoint& it, std::uint64_t,
                           peer_records_hook answer)
                {
                    if (tells_at_once)
                        return answer(peer_records());
                    asked_for_records[it] = std::move(answer);
                },
                .restore_record = [this](const ledger_record& it)
                { records.push_back(it); },
                .after = [this](duration, std::function<void()> work)
                { waiting.push_back(std::move(work)); },
                .no_stray_runs = [this] { return no_stray_runs; },
                .done =
                    [this](const ledger_completion& it)
                {
                    ++done;
                    completion = it;
                }};
    }

    //! Runs what waits for a delay, then ticks.
    void tick()
    {
        for (const auto& it : std::exchange(waiting, {}))
            it();
        recovery.tick();
    }

    instant now{};
    std::vector<std::function<void()>> waiting;
    std::optional<std::vector<endpoint>> peers;
    std::map<endpoint, held_claims_hook> asked;
    std::vector<claim_request> remembered;
    bool tells_at_once = true; //!< of peers: that they have no records
    std::map<endpoint, peer_records_hook> asked_for_records;
    std::vector<ledger_record> records;
    bool no_stray_runs = false;
    int done = 0;
    ledger_completion completion;
    ledger_recovery recovery{{}, hooks()};
};

TEST_F(ledger_recovery_test,
       waits_for_every_peer_and_for_the_runs_of_a_gone_peer)
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

TEST_F(ledger_recovery_test,
       is_not_complete_before_control_has_sent_a_member_list)
{
    now += seconds(3);
    recovery.tick();
    EXPECT_EQ(done, 0);
    peers.emplace();
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(ledger_recovery_test, queries_a_peer_again_that_did_not_answer)
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

TEST_F(ledger_recovery_test,
       is_not_complete_while_runs_of_gone_entries_may_continue)
{
    peers.emplace();
    now += milliseconds(1400);
    recovery.tick();
    EXPECT_EQ(done, 0);
}

TEST_F(ledger_recovery_test,
       completes_early_once_no_run_of_an_earlier_incarnation_is_left)
{
    peers = {first_peer};
    recovery.tick();
    asked[first_peer](held_claims{.settled = false});
    now += milliseconds(800);
    no_stray_runs = true;
    recovery.tick();
    EXPECT_EQ(done, 0) << "an old life of the peer may have runs";
    asked[first_peer](held_claims{.settled = true});
    no_stray_runs = false;
    recovery.tick();
    EXPECT_EQ(done, 0) << "an agent has a run of an entry that is gone";
    no_stray_runs = true;
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(ledger_recovery_test, tells_which_proof_completed_it)
{
    peers = {first_peer};
    no_stray_runs = true;
    recovery.tick();
    asked[first_peer](held_claims{.settled = true});
    now += milliseconds(700);
    recovery.tick();
    EXPECT_EQ(completion, (ledger_completion{.by = ledger_proof::no_old_runs,
                                             .after = milliseconds(700),
                                             .peers = 1}));
}

TEST_F(ledger_recovery_test, tells_what_was_lacking_if_time_completed_it)
{
    peers = {first_peer};
    recovery.tick();
    asked[first_peer](held_claims{.settled = false});
    now += milliseconds(1500);
    recovery.tick();
    EXPECT_EQ(completion, (ledger_completion{.by = ledger_proof::time,
                                             .after = milliseconds(1500),
                                             .peers = 1,
                                             .with_old_runs = 1,
                                             .stray_runs = true}));
}

TEST_F(ledger_recovery_test, waits_until_the_member_list_is_complete)
{
    peers = {first_peer};
    no_stray_runs = true;
    recovery.tick();
    asked[first_peer](held_claims{.settled = true});
    now += milliseconds(600);
    recovery.tick();
    EXPECT_EQ(done, 0);
    now += milliseconds(100);
    recovery.tick();
    EXPECT_EQ(done, 1);
}

TEST_F(ledger_recovery_test, waits_for_the_end_of_the_runs_of_a_gone_peer)
{
    peers = {first_peer};
    no_stray_runs = true;
    recovery.tick();
    asked[first_peer](held_claims{.gone = true});
    now += milliseconds(1400);
    recovery.tick();
    EXPECT_EQ(done, 0);
    now += milliseconds(100);
    recovery.tick();
    EXPECT_EQ(done, 1);
}

std::vector<endpoint> many_peers()
{
    std::vector<endpoint> all;
    for (int n = 0; n < 100; ++n)
        all.push_back({"10.0.1." + std::to_string(n), 1});
    return all;
}

// Guards against a start that fills its link with claims of others.
TEST_F(ledger_recovery_test, asks_a_few_peers_at_a_time)
{
    peers = many_peers();
    std::size_t answered = 0;
    for (tick(); !asked.empty(); ++answered)
    {
        EXPECT_LE(asked.size(), ledger_recovery_options().max_peers_asked);
        const auto [peer, answer] = *asked.begin();
        asked.erase(asked.begin());
        answer(held_claims{.settled = true});
    }
    EXPECT_EQ(answered, peers->size());
}

// Guards against peers that are silent and hold up the questions to others.
TEST_F(ledger_recovery_test, asks_on_while_peers_are_silent)
{
    peers = many_peers();
    const ledger_recovery_options defaults;
    tick();
    EXPECT_EQ(asked.size(), defaults.max_peers_asked);
    for (auto waited = duration::zero(); waited < milliseconds(500);
         waited += milliseconds(20))
    {
        const auto before = asked.size();
        now += milliseconds(20);
        tick();
        EXPECT_LE(asked.size() - before, defaults.max_peers_asked);
    }
    EXPECT_GE(asked.size(), 5 * defaults.max_peers_asked);
}

// Guards against peers that wait while others are asked over and over.
TEST_F(ledger_recovery_test, asks_every_peer_before_it_asks_one_again)
{
    peers = many_peers();
    std::map<endpoint, int> questions;
    for (int n = 0; n < 30; ++n)
    {
        tick();
        for (const auto& [peer, answer] : std::exchange(asked, {}))
        {
            ++questions[peer];
            answer(held_claims{});
        }
        const auto of_first = questions[peers->front()];
        for (const auto& it : *peers)
        {
            EXPECT_GE(questions[it], of_first > 1 ? 1 : 0);
            EXPECT_LE(of_first - questions[it], 2);
        }
        now += milliseconds(20);
    }
    EXPECT_GT(questions[peers->back()], 1);
}

// Guards against claims whose votes were given after the records were told.
TEST_F(ledger_recovery_test, asks_for_records_once_every_peer_has_reported)
{
    tells_at_once = false;
    no_stray_runs = true;
    peers = {first_peer, second_peer};
    recovery.tick();
    asked[first_peer](held_claims{.settled = true});
    EXPECT_TRUE(asked_for_records.empty());
    asked[second_peer](held_claims{.settled = true});
    EXPECT_EQ(asked_for_records.size(), 2U);
}

// Guards against records that are lost with those that know them while another
// peer is silent. What they told by then proves nothing.
TEST_F(ledger_recovery_test, takes_records_of_others_while_a_peer_is_silent)
{
    tells_at_once = false;
    no_stray_runs = true;
    peers = {first_peer, second_peer};
    tick();
    asked[first_peer](held_claims{.settled = true});
    EXPECT_TRUE(asked_for_records.empty());
    asked[second_peer](std::nullopt);
    ASSERT_TRUE(asked_for_records.contains(first_peer));
    EXPECT_EQ(asked_for_records.size(), 1U) << "the silent one is not asked";
    const ledger_record record({.highest_round = claim_round(1)});
    asked_for_records[first_peer](peer_records{.records = {record}});
    EXPECT_EQ(records, std::vector{record});
    asked_for_records.clear();
    now += seconds(2);
    tick();
    EXPECT_EQ(done, 0);
    EXPECT_TRUE(asked_for_records.empty()) << "once each while one is silent";
    asked[second_peer](held_claims{.settled = true});
    ASSERT_EQ(asked_for_records.size(), 2U);
    asked_for_records[first_peer](peer_records());
    tick();
    EXPECT_EQ(done, 0);
    asked_for_records[second_peer](peer_records());
    tick();
    EXPECT_EQ(done, 1);
}

// Guards against records that were told too early and count once the silent
// peer is listed no more.
TEST_F(ledger_recovery_test, asks_for_records_again_once_a_silent_peer_has_left)
{
    tells_at_once = false;
    no_stray_runs = true;
    peers = {first_peer, second_peer};
    tick();
    asked[first_peer](held_claims{.settled = true});
    asked[second_peer](std::nullopt);
    asked_for_records[first_peer](peer_records());
    asked_for_records.clear();
    now += seconds(2);
    peers = {first_peer};
    tick();
    EXPECT_EQ(done, 0);
    ASSERT_EQ(asked_for_records.size(), 1U);
    asked_for_records[first_peer](peer_records());
    tick();
    EXPECT_EQ(done, 1);
}

// Guards against a replica that votes before it knows of claims whose holder is
// dead.
TEST_F(ledger_recovery_test, is_not_complete_before_every_peer_told_its_records)
{
    tells_at_once = false;
    no_stray_runs = true;
    peers = {first_peer, second_peer};
    tick();
    for (const auto& it : *peers)
        asked[it](held_claims{.settled = true});
    const ledger_record record({.highest_round = claim_round(1)});
    asked_for_records[first_peer](peer_records{.records = {record}});
    asked_for_records[second_peer](std::nullopt);
    asked_for_records.clear();
    now += seconds(2);
    tick();
    EXPECT_EQ(done, 0);
    EXPECT_EQ(records, std::vector{record});
    ASSERT_EQ(asked_for_records.size(), 1U) << "only the one that was silent";
    asked_for_records[second_peer](peer_records{.gone = true});
    asked_for_records.clear();
    tick();
    EXPECT_EQ(done, 1);
    EXPECT_TRUE(asked_for_records.empty());
}

// Guards against claims that a peer was granted, between the records of another
// one and its own end.
TEST_F(ledger_recovery_test, asks_for_records_again_once_a_peer_is_found_gone)
{
    tells_at_once = false;
    peers = {first_peer};
    tick();
    asked[first_peer](held_claims{.settled = true});
    peers = {first_peer, second_peer};
    tick();
    asked[second_peer](held_claims{.gone = true});
    asked_for_records[first_peer](peer_records());
    asked_for_records.clear();
    tick();
    EXPECT_EQ(asked_for_records.size(), 1U);
    now += seconds(2);
    tick();
    EXPECT_EQ(done, 0);
    asked_for_records[first_peer](peer_records());
    tick();
    EXPECT_EQ(done, 1);
}

// Guards against a takeover that goes on for as long as the process lives.
TEST_F(ledger_recovery_test, asks_for_no_records_once_it_votes_by_its_age)
{
    tells_at_once = false;
    no_stray_runs = true;
    peers = {first_peer};
    tick();
    asked[first_peer](held_claims{});
    ASSERT_EQ(asked_for_records.size(), 1U);
    now += seconds(5) + milliseconds(1);
    tick();
    asked_for_records[first_peer](std::nullopt);
    asked_for_records.clear();
    now += seconds(2);
    tick();
    EXPECT_TRUE(asked_for_records.empty());
    EXPECT_EQ(done, 1);
}

member entry_at(const std::string& address)
{
    return member(
        {.role = member_role::entry, .id = address, .address = address});
}

TEST(entry_peers, keeps_a_peer_for_longer_than_its_claims_hold)
{
    instant now{};
    entry_peers peers("10.0.0.9:1", seconds(3), [&now] { return now; });
    EXPECT_FALSE(peers.known());
    peers.learn({entry_at("10.0.0.9:1"), entry_at("10.0.0.1:1")}, true);
    EXPECT_TRUE(peers.known());
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
    for (int n = 0; n < 6; ++n)
    {
        now += milliseconds(500);
        peers.learn({entry_at("10.0.0.9:1")}, true);
        EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
    }
    now += milliseconds(1);
    peers.learn({entry_at("10.0.0.9:1")}, true);
    EXPECT_TRUE(peers.current().empty());
}

// An entry that dropped all its peers would decide on claims by itself.
TEST(entry_peers, keeps_peers_while_control_does_not_answer)
{
    instant now{};
    entry_peers peers("10.0.0.9:1", seconds(3), [&now] { return now; });
    peers.learn({entry_at("10.0.0.9:1"), entry_at("10.0.0.1:1")}, true);
    now += std::chrono::hours(1);
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
}

// Guards against an entry in a cut that decided on claims by itself, since the
// only replica of control in its reach listed no other entry any more.
TEST(entry_peers, keeps_peers_that_a_replica_of_a_minority_lists_no_more)
{
    instant now{};
    entry_peers peers("10.0.0.9:1", seconds(3), [&now] { return now; });
    peers.learn({entry_at("10.0.0.9:1"), entry_at("10.0.0.1:1")}, true);
    for (int n = 0; n < 10; ++n)
    {
        now += seconds(1);
        peers.learn({entry_at("10.0.0.9:1")}, false);
    }
    EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
    for (int n = 0; n <= 6; ++n)
    {
        peers.learn({entry_at("10.0.0.9:1")}, true);
        EXPECT_EQ(peers.current(), std::vector<endpoint>{first_peer});
        now += milliseconds(500);
    }
    peers.learn({entry_at("10.0.0.9:1")}, true);
    EXPECT_TRUE(peers.current().empty());
}

} // namespace

} // namespace lagoonquay
