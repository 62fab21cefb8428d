// Paths on which entries that joined may be counted without proof.
#include "answered_quorum.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration lease = milliseconds(1500);

ledger_peer entry(std::size_t number)
{
    return {{"10.0.0." + std::to_string(number), 1},
            domain_id("d" + std::to_string(number % 3)),
            false};
}

member listed(const ledger_peer& it)
{
    member_options options;
    options.role = member_role::entry;
    options.id = it.address.address;
    options.domain = it.domain;
    options.address = to_text(it.address);
    options.serving = true;
    return member(std::move(options));
}

//! Eight entries with complete replicas, each with its list of the others.
class joined_entries_paths : public testing::Test
{
protected:
    joined_entries_paths()
    {
        start_replicas();
    }

    void start_replicas()
    {
        replicas.clear();
        for (std::size_t n = 1; n <= 8; ++n)
            replicas.emplace(
                entry(n).address,
                std::make_unique<ledger_replica>(
                    ledger_options{.complete = true}, clock(), wall_now));
    }

    clock_hook clock()
    {
        return [this]
        {
            return now;
        };
    }

    std::unique_ptr<entry_peers> list_of(std::size_t self)
    {
        return std::make_unique<entry_peers>(to_text(entry(self).address),
                                             2 * lease, clock());
    }

    void learn(entry_peers& list, std::size_t entries)
    {
        std::vector<member> members;
        for (std::size_t n = 1; n <= entries; ++n)
            members.push_back(listed(entry(n)));
        list.learn(members, true);
    }

    claim_outcome claim(std::size_t self, entry_peers& list,
                        const submission_id& submission)
    {
        const claim_request plain(
            {.submission = submission,
             .digest = content_digest(1),
             .dated = false,
             .holder = entry_id(std::to_string(self)),
             .holder_run = incarnation(1),
             .holder_address = to_text(entry(self).address),
             .ask = claim_sequence(1),
             .lease = lease});
        const auto request = list.tell_entries(plain);
        const auto groups =
            choose_replica_groups(submission, entry(self), list.replicas());
        claim_quorum quorum(request, groups, now);
        const auto own = entry(self).address;
        const auto step = quorum.start(replicas.at(own)->claim(request));
        return ask_all(
            quorum, step,
            [&](const endpoint& it) -> claim_answer
            { return {.vote = vote_of(it, request)}; },
            [&](const endpoint& it, const claim_vote& vote)
            { return list.note_vote(it, request, vote); });
    }

    //! Of an entry without a list, as of an earlier version.
    claim_vote vote_of(const endpoint& replica, const claim_request& request)
    {
        const auto vote = replicas.at(replica)->claim(request);
        for (const auto& [number, list] : lists)
        {
            const auto self = entry(number);
            if (self.address != replica)
                continue;
            const auto told = list->tell_entries(
                vote, request,
                [&, it = list.get()](const submission_id& submission) {
                    return choose_replica_groups(submission, self,
                                                 it->replicas());
                });
            return decode_claim_vote(encode_claim_vote(told)).value();
        }
        return vote;
    }

    //! An entry among `before` claims each submission, then the first of those
    //! that make it `after`.
    //! @param told  whether the others have told that one which are older.
    //! @return how many of 100 submissions both hold in round 1.
    std::size_t held_twice(std::size_t before, std::size_t after, bool heard,
                           bool told = false)
    {
        const auto old_list = list_of(before);
        learn(*old_list, before);
        now += seconds(10);
        learn(*old_list, heard ? after : before);
        const auto newcomer = before + 1;
        const auto new_list = list_of(newcomer);
        learn(*new_list, after);
        for (std::size_t n = 1; told && n <= after; ++n)
            new_list->learn_established(entry(n).address,
                                        n <= before ? old_list->established()
                                                    : first(0));
        return count_held_twice(before, *old_list, newcomer, *new_list);
    }

    //! @return how many of 100 submissions two entries both hold in round 1.
    std::size_t count_held_twice(std::size_t holder, entry_peers& holder_list,
                                 std::size_t newcomer, entry_peers& new_list)
    {
        std::size_t both = 0;
        for (std::size_t n = 0; n < 100; ++n)
        {
            const submission_id submission("job-" + std::to_string(n));
            const auto first = claim(holder, holder_list, submission);
            EXPECT_EQ(first->status, claim_status::held);
            const auto second = claim(newcomer, new_list, submission);
            both += second->status == claim_status::held &&
                            second->round == first->round
                        ? 1
                        : 0;
        }
        return both;
    }

    //! One asks another which are established, as an entry does with its
    //! question for claims and once a period after it.
    static void ask(entry_peers& list, std::size_t peer, entry_peers& asked)
    {
        list.take_answer(entry(peer).address,
                         held_claims{.established = asked.established(),
                                     .listed_for = asked.listed_for()});
    }

    static std::vector<endpoint> first(std::size_t count)
    {
        std::vector<endpoint> all;
        for (std::size_t n = 1; n <= count; ++n)
            all.push_back(entry(n).address);
        return all;
    }

    static std::size_t count_older(entry_peers& list)
    {
        const auto all = list.replicas();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                      [](const ledger_peer& it)
                                                      { return it.older; }));
    }

    instant now = instant() + seconds(100);
    std::map<endpoint, std::unique_ptr<ledger_replica>> replicas;
    std::map<std::size_t, std::unique_ptr<entry_peers>> lists; //!< that tell
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

} // namespace lagoonquay
