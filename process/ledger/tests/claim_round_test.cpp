// Claims at several replicas, with control over which replica each message
// reaches.
#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_shard.hpp"

#include <gtest/gtest.h>
#include <map>

namespace lagoonquay
{

namespace
{

using std::chrono::seconds;

const wall_time wall_start(seconds(100000));
const duration lease = seconds(5);

//! Three replicas, named A, B and C, with a common clock.
class replicas
{
public:
    replicas()
    {
        for (const char name : {'A', 'B', 'C'})
            shards_.emplace(
                name, ledger_shard({.memory_since = wall_start - seconds(60)}));
    }

    void wait(duration span)
    {
        now_ += span;
    }

    void restart(char name)
    {
        shards_.at(name) = ledger_shard({.memory_since = wall()});
    }

    claim_vote at(char name, const claim_request& asked)
    {
        return shards_.at(name).claim(asked, now_, wall());
    }

    //! @return the outcome if only the replicas named in `reached` answer.
    claim_outcome ask(const std::string& reached, const claim_request& asked)
    {
        claim_tally tally(shards_.size(), lease, now_);
        std::optional<claim_outcome> outcome;
        for (const auto& [name, shard] : shards_)
        {
            std::optional<claim_vote> vote;
            if (reached.find(name) != std::string::npos)
                vote = at(name, asked);
            if (const auto it = tally.add(vote))
                outcome = it;
        }
        return outcome.value_or(claim_outcome());
    }

private:
    wall_time wall() const
    {
        return wall_start +
               std::chrono::duration_cast<std::chrono::milliseconds>(now_ -
                                                                     instant());
    }

    instant now_;
    std::map<char, ledger_shard> shards_;
};

claim_request_options by(const std::string& holder, std::uint64_t ask = 1)
{
    return {.submission = submission_id("s"),
            .digest = content_digest(1),
            .created = wall_start,
            .holder = entry_id(holder),
            .holder_run = incarnation(1),
            .holder_address = holder,
            .ask = claim_ask(ask),
            .lease = lease};
}

claim_request renewal(const std::string& holder, claim_round round)
{
    auto options = by(holder);
    options.round = round;
    return claim_request(options);
}

TEST(claim_rounds, a_first_claim_needs_no_second_trip)
{
    replicas it;
    const auto outcome = it.ask("AB", claim_request(by("x")));
    EXPECT_EQ(outcome->status, claim_status::held);
    EXPECT_TRUE(outcome->confirmed);
    EXPECT_EQ(outcome->round, claim_round(1));
    EXPECT_EQ(outcome->first_claim_age, duration());
}

// Without the confirmation, x and y would both use round 4, and attempts of
// both would have the same numbers.
TEST(claim_rounds, two_adopters_never_share_a_confirmed_round)
{
    replicas it;
    it.ask("ABC", claim_request(by("dead")));
    it.wait(lease);
    it.at('A', claim_request(by("p"))); // round 2, at A only
    it.wait(lease);
    it.at('A', claim_request(by("q"))); // round 3, at A only
    it.at('C', claim_request(by("q"))); // round 2 at C; its vote is lost
    it.wait(lease);
    it.at('C', claim_request(by("r"))); // round 3, at C only
    it.wait(lease);
    const auto x = it.ask("AB", claim_request(by("x")));
    EXPECT_EQ(x->round, claim_round(4));
    EXPECT_FALSE(x->confirmed);
    it.wait(lease);
    const auto y = it.ask("BC", claim_request(by("y")));
    EXPECT_EQ(y->round, claim_round(4));
    EXPECT_FALSE(y->confirmed);
    const auto sure = it.ask("BC", renewal("y", y->round));
    EXPECT_TRUE(sure->confirmed);
    EXPECT_EQ(sure->round, claim_round(4));
    const auto late = it.ask("AB", renewal("x", x->round));
    EXPECT_NE(late->status, claim_status::held);
}

TEST(claim_rounds, a_renewal_never_adopts)
{
    replicas it;
    it.ask("ABC", claim_request(by("x")));
    it.wait(lease);
    it.ask("ABC", claim_request(by("y")));
    it.wait(lease);
    const auto late = it.ask("ABC", renewal("x", claim_round(1)));
    EXPECT_EQ(late->status, claim_status::held_by_other);
    EXPECT_EQ(late->holder_address, "y");
}

TEST(claim_rounds, a_claim_or_release_that_comes_late_changes_nothing)
{
    replicas it;
    it.ask("ABC", claim_request(by("x", 1)));
    it.ask("ABC", claim_request(by("x", 2)));
    EXPECT_EQ(it.at('A', claim_request(by("x", 1)))->verdict,
              claim_verdict::held);
    auto release = by("x", 1);
    release.release = true;
    it.at('A', claim_request(release));
    EXPECT_EQ(it.at('A', claim_request(by("y")))->verdict, claim_verdict::held);
    const auto twice = it.at('A', claim_request(by("x", 2)));
    EXPECT_EQ(twice->round, claim_round(2));
}

TEST(claim_rounds, a_released_claim_is_free_at_once)
{
    replicas it;
    it.at('A', claim_request(by("x")));
    auto release = by("x");
    release.release = true;
    it.ask("ABC", claim_request(release));
    const auto y = it.ask("ABC", claim_request(by("y")));
    EXPECT_EQ(y->status, claim_status::held);
}

TEST(claim_rounds, an_entry_that_forgot_its_claim_adopts_its_own_job)
{
    replicas it;
    auto first = by("x", 1);
    first.reach = {{agent_id("a"), incarnation(7)}};
    it.ask("ABC", claim_request(first));
    const auto again = it.ask("ABC", claim_request(by("x", 2)));
    EXPECT_EQ(again->round, claim_round(2));
    EXPECT_GT(again->first_claim_age, duration());
    EXPECT_EQ(again->reach, first.reach);
}

TEST(claim_rounds, a_reach_that_a_renewal_added_is_seen_by_the_adopter)
{
    replicas it;
    it.ask("AB", claim_request(by("x")));
    auto wider = by("x");
    wider.round = claim_round(1);
    wider.reach = {{agent_id("a"), incarnation(7)}};
    it.ask("BC", claim_request(wider));
    it.wait(lease);
    EXPECT_EQ(it.ask("AC", claim_request(by("y")))->reach, wider.reach);
}

TEST(claim_rounds, nobody_claims_a_closed_submission)
{
    replicas it;
    it.ask("ABC", claim_request(by("x")));
    auto close = by("x");
    close.round = claim_round(1);
    close.close = true;
    EXPECT_EQ(it.ask("AB", claim_request(close))->status, claim_status::held);
    it.wait(lease);
    EXPECT_EQ(it.ask("BC", claim_request(by("y")))->status,
              claim_status::closed);
}

TEST(claim_rounds, split_votes_are_contested_and_a_quorum_names_its_holder)
{
    replicas it;
    it.at('A', claim_request(by("x")));
    it.at('B', claim_request(by("y")));
    EXPECT_EQ(it.ask("AB", claim_request(by("z")))->status,
              claim_status::contested);
    it.at('C', claim_request(by("y")));
    const auto outcome = it.ask("ABC", claim_request(by("z")));
    EXPECT_EQ(outcome->status, claim_status::held_by_other);
    EXPECT_EQ(outcome->holder_address, "y");
}

TEST(claim_fence, refuses_the_future_and_what_is_too_old)
{
    replicas it;
    auto future = by("x");
    future.created = wall_start + std::chrono::milliseconds(501);
    EXPECT_EQ(it.at('A', claim_request(future))->verdict,
              claim_verdict::fenced);
    it.wait(std::chrono::minutes(5) + seconds(1));
    EXPECT_EQ(it.at('A', claim_request(by("x")))->verdict,
              claim_verdict::fenced);
}

// A submission that a replica voted on just before its restart must be fenced
// afterwards, even if the caller's clock was ahead by the whole clock skew.
TEST(claim_fence, a_restart_fences_whatever_was_voted_on_before)
{
    replicas it;
    auto ahead = by("x");
    ahead.created = wall_start + std::chrono::milliseconds(500);
    EXPECT_EQ(it.at('A', claim_request(ahead))->verdict,
              claim_verdict::granted);
    it.restart('A');
    it.wait(seconds(2));
    EXPECT_EQ(it.at('A', claim_request(ahead))->verdict, claim_verdict::fenced);
}

TEST(claim_codec, keeps_every_field)
{
    auto options = by("x", 9);
    options.round = claim_round(4);
    options.close = true;
    options.release = true;
    options.reach = {{agent_id("a"), incarnation(7)}};
    const claim_request asked(options);
    const auto decoded = decode_claim_request(encode_claim_request(asked));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), asked);
    const claim_vote closed({.verdict = claim_verdict::closed});
    const auto vote = decode_claim_vote(encode_claim_vote(closed));
    ASSERT_TRUE(vote);
    EXPECT_EQ(vote.value(), closed);
}

} // namespace

} // namespace lagoonquay
