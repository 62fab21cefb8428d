// Which replicas a claim is sent to, and when its outcome is decided.
#include "lagoonquay/process/claim_quorum.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const instant start(std::chrono::seconds(100));
const duration lease = std::chrono::seconds(5);

endpoint replica(std::uint16_t number)
{
    return {"10.0.0.1", number};
}

//! @return a group of the replicas from `first` to `last`.
replica_group group(std::uint16_t first, std::uint16_t last, bool local = false)
{
    replica_group found;
    for (auto n = first; n <= last; ++n)
        found.others.push_back(replica(n));
    found.local = local;
    found.includes_all_entries = false;
    return found;
}

claim_quorum quorum_with(std::vector<replica_group> groups)
{
    return {claim_request({.lease = lease}), std::move(groups), start};
}

claim_answer granted(std::uint64_t round = 1)
{
    return {.vote = claim_vote({.verdict = claim_verdict::granted,
                                .round = claim_round(round)})};
}

claim_answer held_by(const std::string& holder)
{
    return {.vote = claim_vote(
                {.verdict = claim_verdict::held, .holder_address = holder})};
}

} // namespace

TEST(claim_quorum, asks_a_majority_and_is_held_once_it_grants)
{
    auto quorum = quorum_with({group(1, 5)});
    EXPECT_EQ(quorum.start({}).ask.size(), 3U);
    EXPECT_FALSE(quorum.add(replica(1), granted()).outcome);
    EXPECT_FALSE(quorum.add(replica(2), granted()).outcome);
    const auto last = quorum.add(replica(3), granted());
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held);
    EXPECT_EQ((*last.outcome)->valid_until, start + lease);
    EXPECT_TRUE((*last.outcome)->confirmed);
}

TEST(claim_quorum, asks_fewer_others_when_the_local_replica_grants)
{
    auto quorum = quorum_with({group(1, 4, true)});
    EXPECT_EQ(quorum.start(granted().vote).ask.size(), 2U);
    auto fenced_quorum = quorum_with({group(1, 4, true)});
    const claim_vote fenced({.verdict = claim_verdict::fenced});
    EXPECT_EQ(fenced_quorum.start(fenced).ask.size(), 3U);
}

TEST(claim_quorum, asks_another_replica_for_each_that_does_not_grant)
{
    auto quorum = quorum_with({group(1, 5)});
    quorum.start({});
    EXPECT_EQ(quorum.add(replica(1), {}).ask, std::vector{replica(4)});
    EXPECT_EQ(quorum.add(replica(2), held_by("x")).ask,
              std::vector{replica(5)});
    EXPECT_TRUE(quorum.add(replica(3), held_by("x")).ask.empty());
    const auto last = quorum.add(replica(4), held_by("x"));
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held_by_other);
    EXPECT_EQ((*last.outcome)->holder_address, "x");
}

TEST(claim_quorum, asks_others_for_unanswered_requests_and_counts_late_votes)
{
    auto quorum = quorum_with({group(1, 5)});
    quorum.start({});
    quorum.add(replica(1), granted());
    EXPECT_EQ(quorum.hedge_pending().ask,
              (std::vector{replica(4), replica(5)}));
    quorum.add(replica(4), granted());
    EXPECT_TRUE(quorum.add(replica(2), granted()).outcome);
}

TEST(claim_quorum, asks_the_remaining_replicas_when_rounds_differ)
{
    auto quorum = quorum_with({group(1, 5)});
    quorum.start({});
    quorum.add(replica(1), granted(1));
    quorum.add(replica(2), granted(1));
    EXPECT_EQ(quorum.add(replica(3), granted(2)).ask,
              (std::vector{replica(4), replica(5)}));
    const auto last = quorum.add(replica(4), granted(2));
    EXPECT_FALSE(last.outcome);
    EXPECT_TRUE(quorum.add(replica(5), granted(2)).outcome);
}

// The holder may be an entry outside the group. Once a majority of the replicas
// has ended, the remaining ones may have no record of its claim.
TEST(claim_quorum, has_no_quorum_once_a_majority_is_gone)
{
    auto quorum = quorum_with({group(1, 5)});
    quorum.start({});
    quorum.add(replica(1), {.vote = {}, .gone = true});
    quorum.add(replica(2), {.vote = {}, .gone = true});
    quorum.add(replica(3), {.vote = {}, .gone = true});
    quorum.add(replica(4), granted());
    const auto last = quorum.add(replica(5), granted());
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::unavailable);
}

TEST(claim_quorum, needs_a_majority_of_each_group_and_asks_no_replica_twice)
{
    auto quorum = quorum_with({group(1, 5), group(3, 7)});
    EXPECT_EQ(quorum.start({}).ask.size(), 5U);
    quorum.add(replica(1), granted());
    quorum.add(replica(2), granted());
    EXPECT_FALSE(quorum.add(replica(3), granted()).outcome);
    EXPECT_FALSE(quorum.add(replica(4), granted()).outcome);
    const auto last = quorum.add(replica(5), granted());
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held);
}

TEST(claim_quorum, is_not_held_if_one_group_reports_another_holder)
{
    auto quorum = quorum_with({group(1, 3), group(4, 6)});
    quorum.start({});
    quorum.add(replica(1), granted());
    quorum.add(replica(2), granted());
    quorum.add(replica(4), held_by("x"));
    const auto last = quorum.add(replica(5), held_by("x"));
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held_by_other);
}

TEST(claim_quorum, sends_a_release_to_every_replica)
{
    claim_quorum quorum(claim_request({.release = true}), {group(1, 5)}, start);
    EXPECT_EQ(quorum.start({}).ask.size(), 5U);
}

// One that control no longer lists votes for those that still count it, beside
// others that have left it out.
TEST(claim_quorum, counts_no_vote_of_an_unlisted_replica)
{
    auto asked = group(1, 5);
    asked.unlisted = {replica(5)};
    auto quorum = quorum_with({asked});
    quorum.start({});
    quorum.add(replica(1), granted());
    quorum.add(replica(2), granted());
    EXPECT_EQ(quorum.add(replica(3), {}).ask, std::vector{replica(4)});
    EXPECT_FALSE(quorum.add(replica(5), granted()).outcome);
    const auto last = quorum.add(replica(4), granted());
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held);
}

TEST(claim_quorum, finds_an_unlisted_replica_gone)
{
    auto asked = group(1, 3);
    asked.unlisted = {replica(2), replica(3)};
    auto unlisted = quorum_with({asked});
    auto listed = quorum_with({group(1, 3)});
    const claim_answer gone{.vote = {}, .gone = true, .gone_since = start};
    for (auto* const it : {&unlisted, &listed})
    {
        it->start({});
        it->add(replica(1), granted());
        it->add(replica(2), gone);
    }
    EXPECT_EQ(unlisted.add(replica(3), gone).outcome,
              listed.add(replica(3), gone).outcome);
}

// A replica knows entries that the holder doesn't: the claim needs a majority
// of the group with them as well, and the votes that came count in it.
TEST(claim_quorum, needs_a_majority_of_a_group_that_a_replica_told_of)
{
    auto quorum = quorum_with({group(1, 3)});
    EXPECT_EQ(quorum.start({}).ask.size(), 2U);
    EXPECT_FALSE(quorum.add(replica(1), granted()).outcome);
    const auto told = quorum.add(replica(2), granted(), {group(2, 6)});
    EXPECT_FALSE(told.outcome);
    EXPECT_EQ(told.ask,
              (std::vector{replica(3), replica(4), replica(5), replica(6)}));
    EXPECT_FALSE(quorum.add(replica(5), granted()).outcome);
    const auto last = quorum.add(replica(6), granted(), {group(2, 6)});
    ASSERT_TRUE(last.outcome);
    EXPECT_EQ((*last.outcome)->status, claim_status::held);
}

} // namespace lagoonquay
