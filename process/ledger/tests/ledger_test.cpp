#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/ledger_shard.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const wall_time began(std::chrono::seconds(1000));
const instant now(std::chrono::seconds(50));
const wall_time wall(std::chrono::seconds(1010));
const duration lease = std::chrono::seconds(5);

claim_request asked_by(const std::string& holder)
{
    return claim_request({.submission = submission_id("s"),
                          .digest = content_digest(1),
                          .created = began + std::chrono::seconds(10),
                          .holder = entry_id(holder),
                          .holder_run = incarnation(1),
                          .holder_address = holder,
                          .lease = lease});
}

TEST(ledger_shard, grants_a_claim_to_one_entry_at_a_time)
{
    ledger_shard shard({.memory_since = began});
    EXPECT_EQ(shard.claim(asked_by("a"), now, wall)->verdict,
              claim_verdict::granted);
    const auto refused = shard.claim(asked_by("b"), now, wall);
    EXPECT_EQ(refused->verdict, claim_verdict::held);
    EXPECT_EQ(refused->holder_address, "a");
}

TEST(ledger_shard, lets_another_entry_adopt_after_the_lease)
{
    ledger_shard shard({.memory_since = began});
    shard.claim(asked_by("a"), now, wall);
    const auto adopted = shard.claim(asked_by("b"), now + lease, wall);
    EXPECT_EQ(adopted->verdict, claim_verdict::granted);
    EXPECT_EQ(adopted->round, claim_round(2));
    EXPECT_EQ(adopted->first_claim_age, lease);
}

TEST(ledger_shard, refuses_what_it_may_have_forgotten)
{
    ledger_shard shard({.memory_since = began});
    const auto old = asked_by("a").with(
        [](claim_request_options& it)
        { it.created = began + std::chrono::milliseconds(1000); });
    EXPECT_EQ(shard.claim(old, now, wall)->verdict, claim_verdict::fenced);
}

TEST(ledger_shard, refuses_other_content)
{
    ledger_shard shard({.memory_since = began});
    shard.claim(asked_by("a"), now, wall);
    const auto other = asked_by("a").with([](claim_request_options& it)
                                          { it.digest = content_digest(2); });
    EXPECT_EQ(shard.claim(other, now, wall)->verdict, claim_verdict::mismatch);
}

TEST(claim_tally, holds_with_a_quorum_counted_from_the_request)
{
    claim_tally tally(3, lease, now);
    const claim_vote yes({.verdict = claim_verdict::granted});
    EXPECT_FALSE(tally.add(yes));
    EXPECT_FALSE(tally.add(std::nullopt));
    const auto outcome = tally.add(yes);
    ASSERT_TRUE(outcome.has_value());
    EXPECT_EQ((*outcome)->status, claim_status::held);
    EXPECT_EQ((*outcome)->valid_until, now + lease);
}

TEST(claim_tally, is_unavailable_without_a_quorum)
{
    claim_tally tally(3, lease, now);
    tally.add(claim_vote({.verdict = claim_verdict::granted}));
    tally.add(std::nullopt);
    const auto outcome = tally.add(std::nullopt);
    ASSERT_TRUE(outcome.has_value());
    EXPECT_EQ((*outcome)->status, claim_status::unavailable);
}

claim_request undated(const std::string& holder)
{
    return asked_by(holder).with([](claim_request_options& it)
                                 { it.dated = false; });
}

TEST(ledger_shard, an_undated_claim_needs_an_old_or_a_complete_memory)
{
    ledger_options options;
    options.memory_since = began;
    options.began = now - std::chrono::seconds(1);
    ledger_shard shard(options);
    EXPECT_EQ(shard.claim(undated("a"), now, wall)->verdict,
              claim_verdict::fenced);
    EXPECT_EQ(
        shard.claim(undated("a"), now + options.undated_horizon, wall)->verdict,
        claim_verdict::granted);
    ledger_shard told(options);
    told.set_complete();
    EXPECT_EQ(told.claim(undated("a"), now, wall)->verdict,
              claim_verdict::granted);
}

TEST(ledger_shard, a_claim_that_its_holder_told_keeps_others_out)
{
    ledger_shard shard({.memory_since = began});
    shard.remember(undated("a"), now);
    shard.set_complete();
    const auto refused = shard.claim(undated("b"), now, wall);
    EXPECT_EQ(refused->verdict, claim_verdict::held);
    EXPECT_EQ(refused->holder_address, "a");
}

claim_vote grant()
{
    return claim_vote(
        {.verdict = claim_verdict::granted, .round = claim_round(1)});
}

claim_vote not_remembering()
{
    return claim_vote({.verdict = claim_verdict::fenced});
}

TEST(claim_tally, a_process_that_has_ended_is_not_waited_for)
{
    claim_tally tally(4, lease, now);
    EXPECT_FALSE(tally.add(grant()));
    EXPECT_FALSE(tally.add(not_remembering()));
    EXPECT_FALSE(tally.add(grant()));
    const auto outcome = tally.add_gone();
    ASSERT_TRUE(outcome);
    EXPECT_EQ((*outcome)->status, claim_status::held);
}

TEST(claim_tally, with_many_gone_all_others_must_agree)
{
    claim_tally tally(5, lease, now);
    tally.add_gone();
    tally.add_gone();
    EXPECT_FALSE(tally.add(grant()));
    EXPECT_FALSE(tally.add(grant()));
    const auto outcome = tally.add(not_remembering());
    ASSERT_TRUE(outcome);
    EXPECT_NE((*outcome)->status, claim_status::held);
}

TEST(claim_tally, a_silent_replica_still_counts)
{
    claim_tally tally(3, lease, now);
    EXPECT_FALSE(tally.add(grant()));
    EXPECT_FALSE(tally.add(std::nullopt));
    const auto outcome = tally.add(std::nullopt);
    ASSERT_TRUE(outcome);
    EXPECT_EQ((*outcome)->status, claim_status::unavailable);
}

} // namespace

} // namespace lagoonquay
