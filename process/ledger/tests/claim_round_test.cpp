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
class three_replicas
{
public:
    three_replicas()
    {
        for (const char name : {'A', 'B', 'C'})
            shards_.emplace(name, ledger_shard({.records_since =
                                                    wall_start - seconds(60)}));
    }

    void wait(duration span)
    {
        now_ += span;
    }

    void restart(char name)
    {
        shards_.at(name) = ledger_shard({.records_since = wall()});
    }

    claim_vote claim_at(char name, const claim_request& request)
    {
        return shards_.at(name).claim(request, now_, wall());
    }

    //! @return the outcome if only the replicas named in `reached` answer.
    claim_outcome claim(const std::string& reached,
                        const claim_request& request)
    {
        claim_tally tally(shards_.size(), lease, now_);
        std::optional<claim_outcome> outcome;
        for (const auto& [name, shard] : shards_)
        {
            std::optional<claim_vote> vote;
            if (reached.find(name) != std::string::npos)
                vote = claim_at(name, request);
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

claim_request_options options_by(const std::string& holder,
                                 std::uint64_t ask = 1)
{
    return {.submission = submission_id("s"),
            .digest = content_digest(1),
            .created = wall_start,
            .holder = entry_id(holder),
            .holder_run = incarnation(1),
            .holder_address = holder,
            .ask = claim_sequence(ask),
            .lease = lease};
}

claim_request renewal(const std::string& holder, claim_round round)
{
    auto options = options_by(holder);
    options.round = round;
    return claim_request(options);
}

TEST(claim_rounds, a_first_claim_needs_no_second_round_trip)
{
    three_replicas replicas;
    const auto outcome = replicas.claim("AB", claim_request(options_by("x")));
    EXPECT_EQ(outcome->status, claim_status::held);
    EXPECT_TRUE(outcome->confirmed);
    EXPECT_EQ(outcome->round, claim_round(1));
    EXPECT_EQ(outcome->first_claim_age, duration());
}

// Without the confirmation, x and y would both use round 4, and attempts of
// both would have the same numbers.
TEST(claim_rounds, two_adopters_never_share_a_confirmed_round)
{
    three_replicas replicas;
    replicas.claim("ABC", claim_request(options_by("dead")));
    replicas.wait(lease);
    // Round 2, at A only.
    replicas.claim_at('A', claim_request(options_by("p")));
    replicas.wait(lease);
    // Round 3, at A only.
    replicas.claim_at('A', claim_request(options_by("q")));
    // Round 2 at C; its vote is lost.
    replicas.claim_at('C', claim_request(options_by("q")));
    replicas.wait(lease);
    // Round 3, at C only.
    replicas.claim_at('C', claim_request(options_by("r")));
    replicas.wait(lease);
    const auto x = replicas.claim("AB", claim_request(options_by("x")));
    EXPECT_EQ(x->round, claim_round(4));
    EXPECT_FALSE(x->confirmed);
    replicas.wait(lease);
    const auto y = replicas.claim("BC", claim_request(options_by("y")));
    EXPECT_EQ(y->round, claim_round(4));
    EXPECT_FALSE(y->confirmed);
    const auto confirmed = replicas.claim("BC", renewal("y", y->round));
    EXPECT_TRUE(confirmed->confirmed);
    EXPECT_EQ(confirmed->round, claim_round(4));
    const auto late = replicas.claim("AB", renewal("x", x->round));
    EXPECT_NE(late->status, claim_status::held);
}

TEST(claim_rounds, a_renewal_never_adopts)
{
    three_replicas replicas;
    replicas.claim("ABC", claim_request(options_by("x")));
    replicas.wait(lease);
    replicas.claim("ABC", claim_request(options_by("y")));
    replicas.wait(lease);
    const auto late = replicas.claim("ABC", renewal("x", claim_round(1)));
    EXPECT_EQ(late->status, claim_status::held_by_other);
    EXPECT_EQ(late->holder_address, "y");
}

TEST(claim_rounds, a_stale_claim_or_release_changes_nothing)
{
    three_replicas replicas;
    replicas.claim("ABC", claim_request(options_by("x", 1)));
    replicas.claim("ABC", claim_request(options_by("x", 2)));
    EXPECT_EQ(
        replicas.claim_at('A', claim_request(options_by("x", 1)))->verdict,
        claim_verdict::held);
    auto release = options_by("x", 1);
    release.release = true;
    replicas.claim_at('A', claim_request(release));
    EXPECT_EQ(replicas.claim_at('A', claim_request(options_by("y")))->verdict,
              claim_verdict::held);
    const auto twice =
        replicas.claim_at('A', claim_request(options_by("x", 2)));
    EXPECT_EQ(twice->round, claim_round(2));
}

TEST(claim_rounds, a_released_claim_is_free_at_once)
{
    three_replicas replicas;
    replicas.claim_at('A', claim_request(options_by("x")));
    auto release = options_by("x");
    release.release = true;
    replicas.claim("ABC", claim_request(release));
    const auto y = replicas.claim("ABC", claim_request(options_by("y")));
    EXPECT_EQ(y->status, claim_status::held);
}

TEST(claim_rounds, an_entry_that_lost_its_claim_adopts_its_own_job)
{
    three_replicas replicas;
    auto first = options_by("x", 1);
    first.reach = {{agent_id("a"), incarnation(7)}};
    replicas.claim("ABC", claim_request(first));
    const auto again = replicas.claim("ABC", claim_request(options_by("x", 2)));
    EXPECT_EQ(again->round, claim_round(2));
    EXPECT_GT(again->first_claim_age, duration());
    EXPECT_EQ(again->reach, first.reach);
}

TEST(claim_rounds, a_reach_that_a_renewal_added_is_seen_by_the_adopter)
{
    three_replicas replicas;
    replicas.claim("AB", claim_request(options_by("x")));
    auto wider = options_by("x");
    wider.round = claim_round(1);
    wider.reach = {{agent_id("a"), incarnation(7)}};
    replicas.claim("BC", claim_request(wider));
    replicas.wait(lease);
    EXPECT_EQ(replicas.claim("AC", claim_request(options_by("y")))->reach,
              wider.reach);
}

TEST(claim_rounds, a_closed_submission_cannot_be_claimed)
{
    three_replicas replicas;
    replicas.claim("ABC", claim_request(options_by("x")));
    auto close = options_by("x");
    close.round = claim_round(1);
    close.close = true;
    EXPECT_EQ(replicas.claim("AB", claim_request(close))->status,
              claim_status::held);
    replicas.wait(lease);
    EXPECT_EQ(replicas.claim("BC", claim_request(options_by("y")))->status,
              claim_status::closed);
}

TEST(claim_rounds, split_votes_are_contested_and_a_quorum_names_its_holder)
{
    three_replicas replicas;
    replicas.claim_at('A', claim_request(options_by("x")));
    replicas.claim_at('B', claim_request(options_by("y")));
    EXPECT_EQ(replicas.claim("AB", claim_request(options_by("z")))->status,
              claim_status::contested);
    replicas.claim_at('C', claim_request(options_by("y")));
    const auto outcome = replicas.claim("ABC", claim_request(options_by("z")));
    EXPECT_EQ(outcome->status, claim_status::held_by_other);
    EXPECT_EQ(outcome->holder_address, "y");
}

TEST(claim_fence, fences_creation_times_in_the_future_or_too_old)
{
    three_replicas replicas;
    auto future = options_by("x");
    future.created = wall_start + std::chrono::milliseconds(501);
    EXPECT_EQ(replicas.claim_at('A', claim_request(future))->verdict,
              claim_verdict::fenced);
    replicas.wait(std::chrono::minutes(5) + seconds(1));
    EXPECT_EQ(replicas.claim_at('A', claim_request(options_by("x")))->verdict,
              claim_verdict::fenced);
}

// A submission that a replica voted on just before its restart must be fenced
// afterwards, even if the caller's clock was ahead by the whole clock skew.
TEST(claim_fence, a_restart_fences_whatever_was_voted_on_before)
{
    three_replicas replicas;
    auto ahead = options_by("x");
    ahead.created = wall_start + std::chrono::milliseconds(500);
    EXPECT_EQ(replicas.claim_at('A', claim_request(ahead))->verdict,
              claim_verdict::granted);
    replicas.restart('A');
    replicas.wait(seconds(2));
    EXPECT_EQ(replicas.claim_at('A', claim_request(ahead))->verdict,
              claim_verdict::fenced);
}

TEST(claim_codec, keeps_every_field)
{
    auto options = options_by("x", 9);
    options.round = claim_round(4);
    options.close = true;
    options.release = true;
    options.reach = {{agent_id("a"), incarnation(7)}};
    const claim_request request(options);
    const auto decoded = decode_claim_request(encode_claim_request(request));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), request);
    const claim_vote closed({.verdict = claim_verdict::closed});
    const auto vote = decode_claim_vote(encode_claim_vote(closed));
    ASSERT_TRUE(vote);
    EXPECT_EQ(vote.value(), closed);
}

} // namespace

} // namespace lagoonquay
