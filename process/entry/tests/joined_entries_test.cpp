// Claims while some entries have not heard of others that joined.
#include "joined_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class joined_entries : public joined_fleet
{
protected:
    joined_entries() : joined_fleet(6)
    {
    }
};

} // namespace

TEST_F(joined_entries, get_no_claim_that_one_holds_who_has_heard_of_them)
{
    EXPECT_EQ(held_twice(3, 5, true), 0U);
}

// Guards against two entries that held round 1: one that the new entries were
// not named to yet, and a new one.
TEST_F(joined_entries, get_no_claim_that_one_holds_who_has_not_heard_of_them)
{
    EXPECT_EQ(held_twice(3, 5, false), 0U);
}

TEST_F(joined_entries, get_no_claim_of_a_group_that_one_of_them_changes)
{
    EXPECT_EQ(held_twice(5, 6, false), 0U);
}

TEST_F(joined_entries, get_no_claim_that_an_older_one_holds_once_told_of_it)
{
    for (std::size_t before = 1; before < 6; ++before)
    {
        start_replicas();
        EXPECT_EQ(held_twice(before, 6, false, true), 0U) << before;
    }
}

// Guards against two entries that held round 1 in a fleet that grew soon after
// its start: the older ones were new themselves and told of none.
TEST_F(joined_entries, get_no_claim_of_older_ones_that_are_still_new)
{
    const auto old_list = list_of(3);
    learn(*old_list, 3);
    for (std::size_t n = 1; n <= 2; ++n)
        old_list->learn_established(entry(n).address, {});
    now += milliseconds(2500);
    const auto new_list = list_of(4);
    learn(*new_list, 6);
    for (std::size_t n = 1; n <= 6; ++n)
        new_list->learn_established(
            entry(n).address, n <= 3 ? old_list->established() : first(0));
    EXPECT_EQ(count_held_twice(3, *old_list, 4, *new_list), 0U);
}

// Guards against two entries that held round 1: one that began anew as others
// joined, and one that these were not named to yet.
TEST_F(joined_entries, are_new_to_one_that_began_anew_in_that_moment)
{
    const auto old_list = list_of(3);
    learn(*old_list, 3);
    now += seconds(10);
    const auto kept_list = list_of(1);
    learn(*kept_list, 6);
    for (std::size_t n = 1; n <= 6; ++n)
        kept_list->learn_established(
            entry(n).address, n <= 3 ? old_list->established() : first(0));
    EXPECT_EQ(count_held_twice(3, *old_list, 1, *kept_list), 0U);
}

TEST_F(joined_entries, have_one_group_if_all_are_new)
{
    const auto list = list_of(1);
    learn(*list, 3);
    EXPECT_EQ(count_older(*list), 2U);
    EXPECT_TRUE(list->established().empty());
    list->learn_established(entry(2).address, {});
    list->learn_established(entry(3).address, {});
    EXPECT_EQ(count_older(*list), 0U);
    EXPECT_EQ(
        choose_replica_groups(submission_id("s"), entry(1), list->replicas())
            .size(),
        1U);
}

TEST_F(joined_entries, that_started_again_keep_their_place)
{
    const auto list = list_of(3);
    learn(*list, 3);
    list->learn_established(entry(1).address, first(3));
    EXPECT_EQ(count_older(*list), 0U);
    EXPECT_EQ(list->established().size(), 3U);
    list->learn_established(entry(2).address, first(2));
    EXPECT_EQ(count_older(*list), 2U);
}

TEST_F(joined_entries, are_established_after_two_leases_once_they_are_counted)
{
    for (std::size_t n = 1; n <= 3; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 3);
    }
    auto& list = *lists[3];
    claim(3, list, submission_id("a"));
    now += 2 * lease;
    EXPECT_EQ(count_older(list), 2U);
    now += milliseconds(1);
    EXPECT_EQ(list.established().size(), 3U);
    EXPECT_EQ(count_older(list), 2U);
    now += seconds(1);
    claim(3, list, submission_id("b"));
    now += milliseconds(50);
    EXPECT_EQ(
        choose_replica_groups(submission_id("c"), entry(3), list.replicas())
            .size(),
        1U);
    EXPECT_EQ(count_older(list), 0U);
}

TEST_F(joined_entries, are_told_of_older_ones_with_their_claims)
{
    for (const std::size_t count : {0U, 2U})
    {
        const held_claims told{.established = first(count)};
        const auto read = decode_held_claims(encode_held_claims(told));
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value(), told);
    }
    const auto silent = decode_held_claims(encode_held_claims({}));
    ASSERT_TRUE(silent);
    EXPECT_FALSE(silent.value().established);
}

// Guards against two entries that held round 1 in a fleet that grew 1 to 2 s
// after its start. The older ones, still new, told of none; one that has
// settled is not asked again.
TEST_F(joined_entries, get_no_claim_of_older_ones_that_told_of_none_yet)
{
    const auto old_list = list_of(3);
    learn(*old_list, 3);
    for (std::size_t n = 1; n <= 2; ++n)
        old_list->learn_established(entry(n).address, {});
    now += milliseconds(1500);
    learn(*old_list, 3);
    const auto new_list = list_of(4);
    learn(*new_list, 6);
    const auto ask_others = [&]
    {
        for (std::size_t n = 1; n <= 6; ++n)
            ask(*new_list, n, n <= 3 ? *old_list : *new_list);
    };
    ask_others();
    now += established_period;
    ask_others();
    now += milliseconds(700) - established_period; // its replica is complete
    EXPECT_EQ(count_held_twice(3, *old_list, 4, *new_list), 0U);
}

// The same 2.5 s after the start, where one entry of the start was listed once
// the recovery of the others, which asks for what peers know, had ended.
TEST_F(joined_entries, get_no_claim_of_older_ones_that_one_joined_late)
{
    const auto old_list = list_of(3);
    learn(*old_list, 3);
    for (std::size_t n = 1; n <= 2; ++n)
        old_list->learn_established(entry(n).address, {});
    now += milliseconds(900);
    learn(*old_list, 4);
    const auto late_list = list_of(4);
    learn(*late_list, 4);
    for (std::size_t n = 1; n <= 3; ++n)
        late_list->learn_established(entry(n).address, {});
    for (int n = 0; n < 3; ++n)
    {
        now += established_period;
        for (const std::size_t peer : {1U, 2U})
            ask(*old_list, peer, *old_list);
        ask(*old_list, 4, *late_list);
        for (const std::size_t peer : {1U, 2U, 3U})
            ask(*late_list, peer, *old_list);
    }
    now += milliseconds(1600) - 3 * established_period;
    const auto new_list = list_of(5);
    learn(*new_list, 6);
    for (std::size_t n = 1; n <= 6; ++n)
        ask(*new_list, n, n <= 3 ? *old_list : n == 4 ? *late_list : *new_list);
    EXPECT_EQ(count_held_twice(3, *old_list, 5, *new_list), 0U);
}

// The same for each moment in which the others may join, apart from the first
// half second: control lists all entries of a start within a second.
TEST_F(joined_entries, get_no_claim_of_older_ones_whenever_they_join)
{
    for (int joined = 600; joined <= 4000; joined += 100)
    {
        start_replicas();
        const auto old_list = list_of(3);
        learn(*old_list, 3);
        const auto begin = now;
        const auto old_asks = [&]
        {
            for (const std::size_t peer : {1U, 2U})
                ask(*old_list, peer, *old_list);
        };
        old_asks();
        for (; now + established_period <= begin + milliseconds(joined);
             now += established_period)
            old_asks();
        now = begin + milliseconds(joined);
        const auto new_list = list_of(4);
        learn(*new_list, 6);
        for (int n = 0; n < 6; ++n)
        {
            for (std::size_t peer = 1; peer <= 6; ++peer)
                ask(*new_list, peer, peer <= 3 ? *old_list : *new_list);
            EXPECT_EQ(count_held_twice(3, *old_list, 4, *new_list), 0U)
                << joined << " ms, asked " << n + 1 << " times";
            now += established_period;
            old_asks();
            start_replicas();
        }
    }
}

// Guards against entries of one start that need the votes of each that came
// shortly before them.
TEST_F(joined_entries, of_one_start_are_not_older_by_their_first_lists)
{
    const auto first_list = list_of(1);
    learn(*first_list, 3);
    now += milliseconds(500);
    const auto list = list_of(3);
    learn(*list, 3);
    ask(*list, 1, *first_list);
    ask(*list, 2, *first_list);
    EXPECT_EQ(count_older(*list), 0U);
    now += milliseconds(1600);
    for (const std::size_t peer : {2U, 3U})
        ask(*first_list, peer, *list);
    ask(*list, 1, *first_list);
    EXPECT_EQ(first_list->established().size(), 3U);
    EXPECT_EQ(list->established().size(), 3U);
}

TEST_F(joined_entries, ask_which_are_older_while_they_are_new)
{
    const auto list = list_of(3);
    EXPECT_TRUE(list->to_ask_for_established().empty());
    EXPECT_EQ(list->listed_for(), duration::zero());
    learn(*list, 3);
    EXPECT_EQ(list->to_ask_for_established().size(), 2U);
    now += established_period;
    learn(*list, 4);
    EXPECT_EQ(list->to_ask_for_established().size(), 3U);
    EXPECT_EQ(list->listed_for(), established_period);
    ask(*list, 2, *list);
    now += 2 * lease;
    const std::vector not_told{entry(1).address};
    EXPECT_EQ(list->to_ask_for_established(), not_told);
    ask(*list, 1, *list);
    EXPECT_TRUE(list->to_ask_for_established().empty());
}

// Guards against a place that is lost as the peer that named it begins anew.
TEST_F(joined_entries, keep_what_a_peer_named_before_it_began_anew)
{
    const auto list = list_of(3);
    learn(*list, 3);
    ask(*list, 2, *list);
    list->learn_established(entry(1).address, first(3));
    now += milliseconds(100);
    const auto next = list_of(1);
    learn(*next, 3);
    now += milliseconds(100);
    ask(*list, 1, *next);
    EXPECT_EQ(list->established().size(), 3U);
    list->take_answer(entry(1).address, held_claims{.gone = true});
    EXPECT_TRUE(list->established().empty());
}

TEST_F(joined_entries, are_told_how_long_a_peer_is_listed)
{
    const held_claims told{.established = first(0),
                           .listed_for = milliseconds(1500)};
    const auto read = decode_held_claims(encode_held_claims(told));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), told);
}

// Guards against two holders of a job: one that counted the joined entries
// alone once the time in which all should have heard of them was over, and one
// that had not heard of them.
TEST_F(joined_entries,
       that_some_have_not_heard_of_share_a_voter_with_all_that_have)
{
    for (std::size_t n = 1; n <= 4; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 4);
    }
    now += seconds(10);
    for (int n = 0; n < 10; ++n)
    {
        for (std::size_t it = 1; it <= 4; ++it)
            learn(*lists[it], it == 1 ? 6 : 4);
        now += milliseconds(500);
    }
    EXPECT_EQ(count_held_twice(1, *lists[1], 2, *lists[2]), 0U);
}

TEST_F(joined_entries, are_told_of_with_claims_and_votes)
{
    const claim_request asked({.submission = submission_id("s"),
                               .digest = content_digest(1),
                               .holder = entry_id("1"),
                               .holder_run = incarnation(1),
                               .holder_address = "10.0.0.1:1",
                               .entries = entries_digest(7),
                               .asks_entries = true});
    const auto read = decode_claim_request(encode_claim_request(asked));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), asked);
    const claim_vote vote({.same_entries = false,
                           .entries_for = milliseconds(10),
                           .groups = {first(3), first(2)}});
    const auto voted = decode_claim_vote(encode_claim_vote(vote));
    ASSERT_TRUE(voted);
    EXPECT_EQ(voted.value(), vote);
    const held_claims told{.established = first(0),
                           .entries = entries_digest(7),
                           .entries_for = milliseconds(10)};
    const auto held = decode_held_claims(encode_held_claims(told));
    ASSERT_TRUE(held);
    EXPECT_EQ(held.value(), told);
}

// What this costs where nobody joins: the digest in the request alone.
TEST_F(joined_entries, cost_a_few_bytes_a_claim_while_there_are_none)
{
    constexpr std::size_t max_bytes = 27;
    for (std::size_t n = 1; n <= 3; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 3);
    }
    now += 2 * lease + milliseconds(1);
    for (const std::size_t peer : {1U, 2U})
        ask(*lists[3], peer, *lists[peer]);
    learn(*lists[3], 3);
    const claim_request plain({.submission = submission_id("s"),
                               .holder = entry_id("3"),
                               .holder_address = to_text(entry(3).address)});
    const auto asked = lists[3]->tell_entries(plain);
    EXPECT_LE(encode_claim_request(asked).size(),
              encode_claim_request(plain).size() + max_bytes);
    const auto vote = replicas.at(entry(1).address)->claim(asked);
    EXPECT_EQ(vote_of(entry(1).address, asked), vote);
}

} // namespace lagoonquay
