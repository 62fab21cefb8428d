// Paths on which entries that joined may be counted without proof.
#include "joined_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class joined_entries_paths : public joined_fleet
{
protected:
    joined_entries_paths() : joined_fleet(8)
    {
    }
};

} // namespace

// A peer that has just started has no list yet. It is not one of an earlier
// version, and may get its first list without the entry that joined.
TEST_F(joined_entries_paths, are_not_counted_by_a_peer_without_a_list)
{
    for (std::size_t n = 1; n <= 5; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 5);
    }
    now += seconds(10);
    learn(*lists[1], 6);
    now += seconds(4);
    learn(*lists[1], 6);
    const auto began_anew = list_of(2);
    lists[1]->take_answer(entry(2).address, began_anew->with_entries({}));
    now += seconds(1);
    learn(*lists[1], 6);
    for (const auto& it : lists[1]->replicas())
    {
        if (it.address != entry(6).address || !it.counted_by)
            continue;
        EXPECT_FALSE(it.counted_by->contains(entry(2).address));
    }
}

// As above: a majority of the older ones begins anew and doesn't hear of it.
TEST_F(joined_entries_paths, share_a_voter_with_peers_that_began_anew)
{
    for (std::size_t n = 1; n <= 5; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 5);
    }
    now += seconds(10);
    for (std::size_t n = 1; n <= 5; ++n)
    {
        for (std::size_t peer = 1; peer <= 5; ++peer)
        {
            if (peer != n)
                lists[n]->take_answer(entry(peer).address,
                                      lists[peer]->with_entries({}));
        }
        learn(*lists[n], n == 1 ? 7 : 5);
    }
    now += seconds(4);
    learn(*lists[1], 7);
    for (const std::size_t n : {2U, 3U})
    {
        lists[n] = list_of(n);
        lists[1]->take_answer(entry(n).address, lists[n]->with_entries({}));
        learn(*lists[n], 5);
        for (std::size_t peer = 1; peer <= 5; ++peer)
        {
            if (peer != n)
                lists[n]->learn_established(entry(peer).address, first(5));
        }
    }
    now += seconds(1);
    for (std::size_t n = 1; n <= 5; ++n)
        learn(*lists[n], n == 1 ? 7 : 5);
    EXPECT_EQ(count_held_twice(1, *lists[1], 4, *lists[4]), 0U);
    start_replicas();
    EXPECT_EQ(count_held_twice(4, *lists[4], 1, *lists[1]), 0U);
}

// The next process of a peer may not know what the earlier one knew.
TEST_F(joined_entries_paths, are_not_counted_by_the_next_process_of_a_peer)
{
    for (std::size_t n = 1; n <= 5; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 5);
    }
    now += seconds(10);
    learn(*lists[1], 6);
    learn(*lists[2], 6);
    now += seconds(4);
    learn(*lists[1], 6);
    learn(*lists[2], 6);
    lists[1]->take_answer(entry(2).address, lists[2]->with_entries({}));
    std::vector<member> members;
    for (std::size_t n = 1; n <= 6; ++n)
        members.push_back(listed(entry(n)).with(
            [&](member_options& it) { it.run = incarnation(n == 2 ? 2 : 0); }));
    now += seconds(1);
    lists[1]->learn(members, true);
    for (const auto& it : lists[1]->replicas())
    {
        if (it.address != entry(6).address || !it.counted_by)
            continue;
        EXPECT_FALSE(it.counted_by->contains(entry(2).address));
    }
}

// A peer counts the entry a second after it heard of it: its word in that
// second, by an answer or a vote, is none.
TEST_F(joined_entries_paths, are_not_counted_before_a_peer_tells_of_them)
{
    for (const bool by_vote : {false, true})
    {
        for (std::size_t n = 1; n <= 5; ++n)
        {
            lists[n] = list_of(n);
            learn(*lists[n], 5);
        }
        now += seconds(10);
        for (std::size_t n = 1; n <= 5; ++n)
            learn(*lists[n], 6);
        const auto tell = [&]
        {
            const auto peer = entry(2).address;
            const auto asked = lists[1]->tell_entries(
                claim_request({.submission = submission_id("s"),
                               .holder = entry_id("1"),
                               .holder_address = to_text(entry(1).address)}));
            if (by_vote)
                lists[1]->note_vote(peer, asked, vote_of(peer, asked));
            else
                lists[1]->take_answer(peer, lists[2]->with_entries({}));
        };
        const auto is_counted = [&]
        {
            learn(*lists[1], 6);
            const auto all = lists[1]->replicas();
            return std::any_of(
                all.begin(), all.end(),
                [&](const ledger_peer& it)
                {
                    return it.address == entry(6).address && it.counted_by &&
                           it.counted_by->contains(entry(2).address);
                });
        };
        now += milliseconds(100);
        tell();
        now += milliseconds(900);
        tell();
        now += 2 * lease;
        EXPECT_FALSE(is_counted()) << by_vote;
        now += milliseconds(100);
        EXPECT_TRUE(is_counted()) << by_vote;
    }
}

// One entry joins, then two more; three of the five older ones hear of
// neither. All that hear ask each other once a period.
TEST_F(joined_entries_paths, one_after_the_other_share_a_voter_with_all)
{
    for (std::size_t n = 1; n <= 5; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 5);
    }
    now += seconds(10);
    const auto period = [&](std::size_t all)
    {
        for (auto& [n, list] : lists)
            learn(*list, n >= 3 && n <= 5 ? 5 : all);
        for (auto& [n, list] : lists)
        {
            for (auto& [peer, other] : lists)
            {
                const bool known =
                    peer <= 5 || n < 3 || n > 5; // by their lists
                if (peer != n && known)
                    list->take_answer(entry(peer).address,
                                      other->with_entries({}));
            }
        }
        now += milliseconds(500);
    };
    lists[6] = list_of(6);
    for (int n = 0; n < 24; ++n)
        period(6);
    lists[7] = list_of(7);
    lists[8] = list_of(8);
    for (int n = 0; n < 24; ++n)
        period(8);
    for (const std::size_t n : {1U, 2U, 6U, 7U, 8U})
    {
        start_replicas();
        EXPECT_EQ(count_held_twice(n, *lists[n], 3, *lists[3]), 0U) << n;
        start_replicas();
        EXPECT_EQ(count_held_twice(3, *lists[3], n, *lists[n]), 0U) << n;
    }
}

// Of two older ones, one began anew and knows of three that joined, and the
// other has not heard of them. Its own vote stands for the two.
TEST_F(joined_entries_paths, of_two_share_a_voter_with_one_that_began_anew)
{
    for (std::size_t n = 1; n <= 2; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 2);
    }
    now += seconds(10);
    lists[1] = list_of(1);
    now += milliseconds(300);
    learn(*lists[1], 5);
    lists[1]->learn_established(entry(2).address, first(2));
    now += max_list_gap + milliseconds(1);
    learn(*lists[1], 5);
    lists[3] = list_of(3);
    learn(*lists[3], 5);
    lists[3]->learn_established(entry(2).address, first(2));
    for (const auto& [a, b] : {std::pair{1, 2}, {2, 1}, {3, 2}, {2, 3}, {1, 3}})
    {
        start_replicas();
        const auto holder = static_cast<std::size_t>(a);
        const auto other = static_cast<std::size_t>(b);
        EXPECT_EQ(
            count_held_twice(holder, *lists[holder], other, *lists[other]), 0U)
            << a << " " << b;
    }
}

// A vote from before its first list named no entry that joined.
TEST_F(joined_entries_paths, are_not_always_counted_by_one_that_voted_before)
{
    for (std::size_t n = 1; n <= 2; ++n)
    {
        lists[n] = list_of(n);
        learn(*lists[n], 2);
    }
    now += seconds(10);
    lists[1] = list_of(1);
    const auto asked = lists[2]->tell_entries(
        claim_request({.submission = submission_id("s"),
                       .dated = false,
                       .holder = entry_id("2"),
                       .holder_address = to_text(entry(2).address),
                       .lease = lease}));
    EXPECT_EQ(vote_of(entry(1).address, asked)->verdict,
              claim_verdict::granted);
    now += milliseconds(300);
    learn(*lists[1], 3);
    lists[1]->learn_established(entry(2).address, first(2));
    EXPECT_EQ(choose_replica_groups(submission_id("s"), entry(1),
                                    lists[1]->replicas())
                  .size(),
              2U);
}

} // namespace lagoonquay
