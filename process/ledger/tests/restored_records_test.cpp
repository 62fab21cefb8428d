// Records that a replica which began anew takes from the others' replicas.
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant start(seconds(50));
const wall_time wall(seconds(1010));
constexpr duration lease = milliseconds(1500);

agent_reach reach_of(const std::string& holder)
{
    return {{agent_id("agent-of-" + holder), incarnation(1)}};
}

claim_request claim_by(const std::string& holder, std::uint64_t round = 0,
                       duration left = lease)
{
    return claim_request({.submission = submission_id("s"),
                          .digest = content_digest(1),
                          .dated = false,
                          .holder = entry_id(holder),
                          .holder_run = incarnation(1),
                          .holder_address = holder,
                          .round = claim_round(round),
                          .ask = claim_sequence(1),
                          .lease = left,
                          .reach = reach_of(holder)});
}

ledger_record record_of(const std::string& holder, std::uint64_t round,
                        duration left = lease)
{
    return ledger_record({.claim = claim_by(holder, round, left),
                          .highest_round = claim_round(round)});
}

//! A shard whose process has just started, and how it votes once it is
//! complete.
class restored_records : public testing::Test
{
protected:
    using step = std::function<void(ledger_shard&)>;

    static ledger_shard fresh()
    {
        return ledger_shard({.started_at = start});
    }

    static step reports(const claim_request& held)
    {
        return [held](ledger_shard& it)
        {
            it.restore_claim(held, start);
        };
    }

    static step tells(const ledger_record& told)
    {
        return [told](ledger_shard& it)
        {
            it.restore_record(told, start);
        };
    }

    //! @return the votes on each request of each entry, at two times, of shards
    //! that went through the steps in this order.
    static std::vector<claim_vote> votes(const std::vector<step>& steps)
    {
        std::vector<claim_vote> all;
        for (const duration after : {milliseconds(10), milliseconds(4000)})
        {
            for (const std::string holder : {"a", "b", "c", "d"})
            {
                for (const std::uint64_t round : {0U, 1U, 2U, 3U})
                {
                    auto shard = fresh();
                    for (const auto& it : steps)
                        it(shard);
                    shard.set_complete();
                    all.push_back(shard.claim(claim_by(holder, round),
                                              start + after, wall));
                }
            }
        }
        return all;
    }

    static claim_vote vote(ledger_shard& shard, const claim_request& request,
                           duration after)
    {
        return shard.claim(request, start + after, wall);
    }
};

} // namespace

// Guards against round 1 that is granted as new although another replica knows
// of a dead holder's claim.
TEST_F(restored_records, keep_a_dead_holders_claim)
{
    auto shard = fresh();
    shard.restore_record(record_of("a", 1), start);
    shard.set_complete();
    const auto early = vote(shard, claim_by("b"), milliseconds(10));
    EXPECT_EQ(early->verdict, claim_verdict::held);
    EXPECT_EQ(early->holder_address, "a");
    const auto adopted = vote(shard, claim_by("b"), lease);
    EXPECT_EQ(adopted->verdict, claim_verdict::granted);
    EXPECT_EQ(adopted->round, claim_round(2));
    EXPECT_GT(adopted->first_claim_age, duration::zero());
    EXPECT_EQ(adopted->reach, reach_of("a"));
}

// Guards against tasks of a closed or answered submission that run again.
TEST_F(restored_records, keep_what_was_closed_and_what_lapsed)
{
    auto shard = fresh();
    const auto closed =
        claim_by("a", 1, duration::zero())
            .with([](claim_request_options& it) { it.close = true; });
    shard.restore_record(
        ledger_record({.claim = closed, .highest_round = claim_round(1)}),
        start);
    shard.set_complete();
    EXPECT_EQ(vote(shard, claim_by("b"), milliseconds(10))->verdict,
              claim_verdict::closed);
    auto lapsed = fresh();
    lapsed.restore_record(record_of("a", 1, duration::zero()), start);
    lapsed.set_complete();
    EXPECT_EQ(vote(lapsed, claim_by("b"), milliseconds(10))->round,
              claim_round(2));
}

// Guards against votes that depend on which answer came first.
TEST_F(restored_records, join_alike_in_any_order)
{
    const auto none = duration::zero();
    const auto in_flight = reports(claim_by("a"));
    const auto proof = reports(claim_by("a", 1));
    const auto lapsed_report = reports(claim_by("a", 1).with(
        [](claim_request_options& it) { it.lapsed = true; }));
    const std::vector<std::vector<step>> cases{
        {proof, tells(record_of("b", 1)), tells(record_of("a", 1))},
        {proof, tells(record_of("b", 3, none)), tells(record_of("c", 2))},
        {tells(record_of("a", 1)), tells(record_of("b", 1, none)),
         tells(record_of("c", 2, none))},
        {tells(record_of("a", 1)), tells(record_of("b", 2)),
         tells(record_of("c", 3))},
        {tells(record_of("a", 1, none)), tells(record_of("b", 2)),
         tells(record_of("c", 2, none))},
        {tells(record_of("a", 1, none)), tells(record_of("b", 2)),
         tells(record_of("a", 3, none))},
        {in_flight, tells(record_of("b", 1)), reports(claim_by("c"))},
        {in_flight, tells(record_of("a", 1, none)), reports(claim_by("c"))},
        {in_flight, tells(record_of("b", 2, none)), reports(claim_by("c", 2))},
        {lapsed_report, tells(record_of("b", 2)), reports(claim_by("c"))},
        {lapsed_report, tells(record_of("a", 1)), tells(record_of("b", 1))},
        {lapsed_report, proof, tells(record_of("d", 2, none))}};
    for (std::size_t n = 0; n < cases.size(); ++n)
    {
        SCOPED_TRACE(n);
        std::vector<std::size_t> order(cases[n].size());
        std::iota(order.begin(), order.end(), 0U);
        const auto expected = votes(cases[n]);
        while (std::next_permutation(order.begin(), order.end()))
        {
            std::vector<step> steps;
            steps.reserve(order.size());
            for (const auto it : order)
                steps.push_back(cases[n][it]);
            EXPECT_EQ(votes(steps), expected);
        }
    }
}

// Guards against a living holder that loses its claim to one that was refused:
// a replica of a minority grants it ever higher rounds.
TEST_F(restored_records, leave_a_living_holder_its_claim)
{
    auto shard = fresh();
    shard.restore_record(record_of("b", 7), start);
    shard.restore_claim(claim_by("a", 1), start);
    shard.set_complete();
    const auto renewed = vote(shard, claim_by("a", 1), milliseconds(10));
    EXPECT_EQ(renewed->verdict, claim_verdict::granted);
    EXPECT_EQ(renewed->round, claim_round(1));
    const auto adopted = vote(shard, claim_by("c"), seconds(2));
    EXPECT_EQ(adopted->verdict, claim_verdict::granted);
    EXPECT_EQ(adopted->round, claim_round(8));
    EXPECT_TRUE(adopted->reach.contains(*reach_of("b").begin()));
}

// Guards against a holder that is told by a record of a refused claim that it
// lost its own, and one that can't renew at that replica for ever.
TEST_F(restored_records, of_two_holders_name_neither)
{
    auto shard = fresh();
    shard.restore_record(record_of("a", 1), start);
    shard.restore_record(record_of("b", 1, duration::zero()), start);
    shard.set_complete();
    for (const std::string holder : {"a", "b"})
    {
        EXPECT_EQ(vote(shard, claim_by(holder, 1), milliseconds(10))->verdict,
                  claim_verdict::fenced);
        EXPECT_EQ(vote(shard, claim_by(holder), milliseconds(10))->verdict,
                  claim_verdict::held);
    }
    auto renewing = shard;
    EXPECT_EQ(vote(renewing, claim_by("b", 1), lease)->verdict,
              claim_verdict::granted);
    const auto adopted = vote(shard, claim_by("c"), lease);
    EXPECT_EQ(adopted->round, claim_round(2));
    EXPECT_EQ(adopted->reach, reach_of("a").joined(reach_of("b")));
}

// Guards against two holders of one round: of which claims a replica knows, and
// up to which round, is open until all its peers have told.
TEST_F(restored_records, grant_nothing_before_all_are_told)
{
    auto shard = fresh();
    shard.restore_record(record_of("a", 1, duration::zero()), start);
    for (const auto& it : {claim_by("a", 1), claim_by("a"), claim_by("b")})
        EXPECT_EQ(vote(shard, it, milliseconds(10))->verdict,
                  claim_verdict::fenced);
    shard.set_complete();
    EXPECT_EQ(vote(shard, claim_by("a", 1), milliseconds(10))->verdict,
              claim_verdict::granted);
}

// Guards against takeovers that grow with all jobs of ten minutes.
TEST_F(restored_records, are_told_while_the_submission_may_come_again)
{
    ledger_shard shard({.complete = true});
    shard.claim(claim_by("a"), start, wall);
    shard.claim(claim_by("a").with(
                    [](claim_request_options& it)
                    {
                        it.submission = submission_id("dated");
                        it.dated = true;
                        it.created = wall;
                    }),
                start, wall);
    EXPECT_EQ(shard.size(), 2U);
    const auto told = shard.recent_records(start + seconds(1));
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front(), record_of("a", 1, milliseconds(500)));
    EXPECT_EQ(shard.recent_records(start + milliseconds(6499)),
              std::vector{record_of("a", 1, duration::zero())
                              .with([](ledger_record_options& it)
                                    { it.lapsed_for = milliseconds(4999); })});
    EXPECT_TRUE(shard.recent_records(start + milliseconds(6500)).empty());
}

// Guards against a takeover of a whole ledger that does not fit in an answer,
// and agents that are listed anew for each record.
// Guards against a takeover that grows with each entry that begins anew.
TEST_F(restored_records, grow_too_old_although_they_are_told_on)
{
    auto now = start;
    ledger_shard first({.complete = true});
    first.claim(claim_by("e1"), now, wall);
    now += lease + seconds(4);
    ledger_shard second({.started_at = now});
    ASSERT_EQ(first.recent_records(now).size(), 1U);
    second.restore_record(first.recent_records(now)[0], now);
    EXPECT_EQ(second.recent_records(now).size(), 1U);
    now += seconds(1);
    EXPECT_TRUE(first.recent_records(now).empty());
    EXPECT_TRUE(second.recent_records(now).empty());
}

TEST_F(restored_records, are_the_same_in_either_encoding)
{
    auto later = record_of("e2", 3);
    const ledger_record_page page{
        .records = {record_of("e1", 1), later, record_of("e1", 2),
                    ledger_record({.claim = claim_by("e3").with(
                                       [](claim_request_options& it)
                                       {
                                           it.dated = true;
                                           it.close = true;
                                           it.created = wall;
                                           it.round = claim_round(1);
                                       }),
                                   .highest_round = claim_round(7)})},
        .next = 4};
    const auto brief = decode_record_page(encode_record_page(page));
    ASSERT_TRUE(brief);
    EXPECT_EQ(brief.value().page, page);
    const auto full = decode_record_page(encode_ledger_records(page));
    ASSERT_TRUE(full);
    EXPECT_EQ(full.value().page, page);
}

TEST_F(restored_records, of_thousands_of_jobs_fit_in_bounded_pages)
{
    const auto clock = []
    {
        return start;
    };
    const auto wall_clock = []
    {
        return wall;
    };
    ledger_replica old({.complete = true}, clock, wall_clock);
    agent_reach::list agents;
    for (std::uint64_t n = 0; n < 64; ++n)
        agents.push_back({agent_id("side-binh-duong-" + std::to_string(n)),
                          incarnation(8'000'000'000'000'000'000 + n)});
    constexpr std::size_t jobs = 5000;
    for (std::size_t n = 0; n < jobs; ++n)
    {
        const auto holder = "frontend-binh-duong-" + std::to_string(n % 12);
        old.claim(claim_by(holder).with(
            [&](claim_request_options& it)
            {
                it.submission =
                    submission_id("684685a3b2af-" + std::to_string(n));
                it.reach = agent_reach(agents);
            }));
    }
    const auto began = std::chrono::steady_clock::now();
    ledger_replica young({}, clock, wall_clock);
    std::size_t bytes = 0;
    std::size_t pages = 0;
    for (std::optional<std::uint64_t> next = 0; next;)
    {
        const auto text =
            encode_ledger_records(old.recent_records(*next, 2000));
        EXPECT_LT(text.size(), 1'000'000U);
        bytes += text.size();
        ++pages;
        const auto page = decode_ledger_records(text);
        ASSERT_TRUE(page);
        for (const auto& it : page.value().records)
            young.restore_record(it);
        next = page.value().next;
    }
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - began;
    std::cout << jobs << " records: " << pages << " pages, " << bytes
              << " bytes, " << took.count() << " ms\n";
    EXPECT_EQ(young.size(), jobs);
    EXPECT_LE(pages, 3U);
}

} // namespace lagoonquay
