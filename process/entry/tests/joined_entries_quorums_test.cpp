// Quorums of the group with the entries that joined, without a voter that knows
// what the group without them granted.
#include "joined_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class joined_entries_quorums : public joined_fleet
{
protected:
    joined_entries_quorums() : joined_fleet(8)
    {
    }

    void start_lists(std::size_t entries)
    {
        for (std::size_t n = 1; n <= entries; ++n)
        {
            lists[n] = list_of(n);
            learn(*lists[n], entries);
        }
        now += seconds(10);
    }

    //! The next process of an entry: its replica has not heard of the claims.
    void begin_anew(std::size_t number)
    {
        lists[number] = list_of(number);
        replicas[entry(number).address] = std::make_unique<ledger_replica>(
            ledger_options{.records_since = wall_now(), .started_at = now},
            clock(), wall_now);
    }

    //! They are told by the older ones, and by each other, who is established.
    void join(std::size_t first_joiner, std::size_t last)
    {
        const auto before = first_joiner - 1;
        for (std::size_t n = first_joiner; n <= last; ++n)
        {
            lists[n] = list_of(n);
            learn(*lists[n], last);
            for (std::size_t it = 1; it <= last; ++it)
                lists[n]->learn_established(entry(it).address,
                                            first(it <= before ? before : 0),
                                            milliseconds(it <= before ? 0 : 1));
        }
    }

    std::vector<claim_outcome> claim_all(std::size_t by)
    {
        std::vector<claim_outcome> found;
        for (std::size_t n = 0; n < 100; ++n)
            found.push_back(claim(by, *lists[by],
                                  submission_id("job-" + std::to_string(n))));
        return found;
    }

    //! A claim whose exchange with one replica is lost.
    claim_outcome claim_without(std::size_t self,
                                const submission_id& submission,
                                std::size_t lost)
    {
        auto& list = *lists[self];
        const auto request = list.tell_entries(
            claim_request({.submission = submission,
                           .digest = content_digest(1),
                           .dated = false,
                           .holder = entry_id(std::to_string(self)),
                           .holder_run = incarnation(1),
                           .holder_address = to_text(entry(self).address),
                           .ask = claim_sequence(1),
                           .lease = lease}));
        claim_quorum quorum(
            request,
            choose_replica_groups(submission, entry(self), list.replicas()),
            now);
        auto step =
            quorum.start(replicas.at(entry(self).address)->claim(request));
        while (!step.outcome && !step.ask.empty())
        {
            claim_step next;
            for (const auto& it : step.ask)
            {
                if (it == entry(lost).address)
                    continue;
                const auto vote = vote_of(it, request);
                const auto more = quorum.add(it, {.vote = vote},
                                             list.note_vote(it, request, vote));
                next.ask.insert(next.ask.end(), more.ask.begin(),
                                more.ask.end());
                if (more.outcome)
                    next.outcome = more.outcome;
            }
            step = next.outcome || !next.ask.empty() ? next
                                                     : quorum.hedge_pending();
        }
        return step.outcome.value_or(claim_outcome());
    }

    static std::size_t count_held(const std::vector<claim_outcome>& all,
                                  claim_round round)
    {
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(),
            [&](const claim_outcome& it) {
                return it->status == claim_status::held && it->round == round;
            }));
    }

    //! They hear lists, and ask each other which entries they count.
    void hear_of_each_other(const std::vector<std::size_t>& some,
                            std::size_t entries, int periods)
    {
        for (int n = 0; n < periods; ++n)
        {
            now += milliseconds(400);
            for (const auto it : some)
                learn(*lists[it], entries);
            for (const auto it : some)
            {
                for (const auto peer : some)
                {
                    if (peer != it)
                        lists[it]->take_answer(entry(peer).address,
                                               lists[peer]->with_entries({}));
                }
            }
        }
    }

    void learn_without(std::size_t list, std::size_t all, std::size_t missing)
    {
        std::vector<member> members;
        for (std::size_t n = 1; n <= all; ++n)
        {
            if (n != missing)
                members.push_back(listed(entry(n)));
        }
        lists[list]->learn(members, true);
    }
};

} // namespace

// One of two voted for a claim, and begins anew before it was told of it. Three
// joined, of whom the holder has not heard yet: they are a majority with both.
TEST_F(joined_entries_quorums, include_who_knows_claims_before_a_new_process)
{
    start_lists(2);
    join(3, 5);
    now += seconds(1);
    EXPECT_EQ(count_held(claim_all(2), claim_round(1)), 100U);
    now += milliseconds(50);
    begin_anew(1);
    now += milliseconds(300);
    learn(*lists[1], 5);
    lists[1]->take_answer(entry(2).address,
                          held_claims{.established = lists[2]->established(),
                                      .listed_for = lists[2]->listed_for()});
    EXPECT_EQ(count_held(claim_all(1), claim_round(1)), 0U);
}

// As above, once the new process was told: its replica knows the claims and is
// complete, but has one vote of five.
TEST_F(joined_entries_quorums, include_a_new_process_that_was_told_of_claims)
{
    start_lists(2);
    join(3, 5);
    now += seconds(1);
    EXPECT_EQ(count_held(claim_all(2), claim_round(1)), 100U);
    const auto next = std::move(replicas[entry(1).address]);
    now += milliseconds(50);
    lists[1] = list_of(1);
    now += milliseconds(300);
    replicas[entry(1).address] = std::make_unique<ledger_replica>(
        ledger_options{.complete = true}, clock(), wall_now);
    for (const auto& it : next->recent_records(0, 1000).records)
        replicas[entry(1).address]->restore_claim(it->claim);
    learn(*lists[1], 5);
    lists[1]->learn_established(entry(2).address, first(2));
    EXPECT_EQ(count_held(claim_all(1), claim_round(1)), 0U);
}

// One of two hears of three that joined, and names them a second later. The
// other one, which has not heard, holds claims from within that second, which
// lapse. They are adopted, not granted as new.
TEST_F(joined_entries_quorums, adopt_lapsed_claims_of_the_second_before_telling)
{
    start_lists(2);
    join(3, 5);
    learn(*lists[1], 5);
    now += milliseconds(950);
    EXPECT_EQ(count_held(claim_all(2), claim_round(1)), 100U);
    while (now < instant() + seconds(100 + 10) + 2 * lease + milliseconds(100))
    {
        now += milliseconds(50);
        learn(*lists[1], 5);
    }
    EXPECT_EQ(count_held(claim_all(1), claim_round(1)), 0U);
}

// Two of four have dropped a third, which the fourth still counts as it is
// listed again. The former two hear no list any more, the latter two of an
// entry that joined.
TEST_F(joined_entries_quorums, of_four_share_a_voter_with_two_that_dropped_one)
{
    start_lists(4);
    for (std::size_t n = 1; n <= 4; ++n)
        learn(*lists[n], 4);
    for (int n = 0; n < 6; ++n)
    {
        now += milliseconds(500);
        for (const std::size_t it : {1U, 3U, 4U})
            learn_without(it, 4, 2);
    }
    now += milliseconds(100);
    for (const std::size_t it : {3U, 4U})
        learn_without(it, 4, 2);
    EXPECT_EQ(lists[1]->current().size(), 3U);
    EXPECT_EQ(lists[3]->current().size(), 2U);
    join(5, 5);
    hear_of_each_other({1, 2, 5}, 5, 12);
    EXPECT_EQ(count_held_twice(4, *lists[4], 1, *lists[1]), 0U);
    start_replicas();
    EXPECT_EQ(count_held_twice(1, *lists[1], 4, *lists[4]), 0U);
}

// As above, of two: one dropped the other, which was cut off from control.
TEST_F(joined_entries_quorums, of_two_share_a_voter_with_one_that_dropped_one)
{
    start_lists(2);
    for (std::size_t n = 1; n <= 2; ++n)
        learn(*lists[n], 2);
    for (int n = 0; n < 6; ++n)
    {
        now += milliseconds(500);
        learn_without(1, 2, 2);
    }
    now += milliseconds(100);
    learn_without(1, 2, 2);
    EXPECT_TRUE(lists[1]->current().empty());
    join(3, 3);
    hear_of_each_other({2, 3}, 3, 12);
    EXPECT_EQ(count_held_twice(1, *lists[1], 2, *lists[2]), 0U);
    start_replicas();
    EXPECT_EQ(count_held_twice(1, *lists[1], 3, *lists[3]), 0U);
}

// One of two was away for nearly as long as entries keep their place. The other
// one says that it counts it, and drops it by a list from before its return.
TEST_F(joined_entries_quorums,
       of_two_share_a_voter_with_one_that_drops_one_late)
{
    start_lists(2);
    for (std::size_t n = 1; n <= 2; ++n)
        learn(*lists[n], 2);
    for (int n = 0; n < 5; ++n)
    {
        now += milliseconds(500);
        learn_without(2, 2, 1);
    }
    now += milliseconds(450);
    join(3, 3);
    begin_anew(1);
    now += milliseconds(10);
    learn(*lists[1], 3);
    lists[1]->take_answer(entry(2).address, lists[2]->with_entries({}));
    now += milliseconds(50);
    learn_without(2, 2, 1);
    EXPECT_TRUE(lists[2]->current().empty());
    start_replicas();
    EXPECT_EQ(count_held_twice(2, *lists[2], 1, *lists[1]), 0U);
}

// One of three began anew. Control, which also did, lists the third to it only
// within a second of the first list, and so to an entry that joined. The other
// two have not heard of that one.
TEST_F(joined_entries_quorums, of_three_share_a_voter_while_one_is_not_listed)
{
    start_lists(3);
    hear_of_each_other({1, 2, 3}, 3, 12);
    lists[4] = list_of(4);
    learn_without(4, 4, 3);
    lists[4]->learn_established(entry(2).address, first(3));
    lists[1] = list_of(1);
    now += milliseconds(300);
    learn_without(1, 4, 3);
    lists[1]->take_answer(entry(2).address, lists[2]->with_entries({}));
    now += max_list_gap + milliseconds(1);
    learn_without(1, 4, 3);
    learn_without(4, 4, 3);
    for (std::size_t n = 0; n < 100; ++n)
    {
        const submission_id submission("job-" + std::to_string(n));
        const auto first = claim_without(3, submission, 1);
        const auto second = claim_without(1, submission, 2);
        EXPECT_EQ(first->status, claim_status::held);
        EXPECT_FALSE(second->status == claim_status::held &&
                     second->round == first->round)
            << submission.text();
    }
}

} // namespace lagoonquay
