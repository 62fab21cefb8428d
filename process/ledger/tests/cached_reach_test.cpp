// Claims that name their agents by the number of a reach sent before.
#include "lagoonquay/process/delivered_reaches.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const duration lease = std::chrono::seconds(5);
const endpoint peer{"127.0.0.1", 7};
const agent_reach two_agents{{agent_id("a"), incarnation(7)},
                             {agent_id("b"), incarnation(8)}};

claim_request_options claim_by(const std::string& holder,
                               const std::string& submission)
{
    return {.submission = submission_id(submission),
            .digest = content_digest(1),
            .dated = false,
            .holder = entry_id(holder),
            .holder_run = incarnation(1),
            .holder_address = holder,
            .ask = claim_sequence(1),
            .lease = lease};
}

claim_request with_agents(claim_request_options options)
{
    options.cached_reach_number = reach_number(1);
    options.reach = two_agents;
    return claim_request(std::move(options));
}

claim_request with_number_only(claim_request_options options)
{
    options.cached_reach_number = reach_number(1);
    options.contains_reach = false;
    return claim_request(std::move(options));
}

//! A replica whose clock is advanced by the test.
class replica_with_manual_clock
{
public:
    claim_vote claim(const claim_request& asked)
    {
        return ledger_.claim(asked);
    }

    void advance(duration span)
    {
        now_ += span;
        ledger_.expire();
    }

private:
    instant now_;
    ledger_replica ledger_{{.complete = true},
                           [this] { return now_; },
                           []
                           {
                               return wall_time();
                           }};
};

} // namespace

TEST(cached_reach_number,
     is_returned_in_full_when_a_claim_that_only_named_it_is_adopted)
{
    replica_with_manual_clock replica;
    replica.claim(with_agents(claim_by("x", "first")));
    EXPECT_EQ(replica.claim(with_number_only(claim_by("x", "second")))->verdict,
              claim_verdict::granted);
    replica.advance(lease);
    const auto adopted = replica.claim(claim_request(claim_by("y", "second")));
    EXPECT_EQ(adopted->reach, two_agents);
}

TEST(cached_reach_number,
     is_rejected_as_unknown_by_a_replica_that_never_received_it)
{
    replica_with_manual_clock replica;
    EXPECT_EQ(replica.claim(with_number_only(claim_by("x", "first")))->verdict,
              claim_verdict::unknown_reach);
    EXPECT_EQ(replica.claim(claim_request(claim_by("y", "first")))->verdict,
              claim_verdict::granted);
}

TEST(cached_reach_number, of_another_incarnation_of_the_holder_is_not_used)
{
    replica_with_manual_clock replica;
    replica.claim(with_agents(claim_by("x", "first")));
    auto later = claim_by("x", "second");
    later.holder_run = incarnation(2);
    EXPECT_EQ(replica.claim(with_number_only(later))->verdict,
              claim_verdict::unknown_reach);
}

TEST(cached_reach_number, expires_after_its_holder_stops_claiming)
{
    replica_with_manual_clock replica;
    replica.claim(with_agents(claim_by("x", "first")));
    replica.advance(std::chrono::hours(1));
    EXPECT_EQ(replica.claim(with_number_only(claim_by("x", "second")))->verdict,
              claim_verdict::unknown_reach);
}

TEST(cached_reach_number, is_encoded_as_its_number_without_the_agents)
{
    const auto asked = with_number_only(claim_by("x", "first"));
    const auto text = encode_claim_request(asked);
    EXPECT_EQ(text.find("\"reach\""), std::string::npos);
    const auto decoded = decode_claim_request(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), asked);
}

TEST(delivered_reaches, assign_the_same_number_to_equal_reaches)
{
    delivered_reaches reaches;
    auto options = claim_by("x", "first");
    options.reach = two_agents;
    const auto first = reaches.name(claim_request(options));
    options.reach =
        agent_reach(agent_reach::list(two_agents.begin(), two_agents.end()));
    EXPECT_EQ(reaches.name(claim_request(options))->cached_reach_number,
              first->cached_reach_number);
    options.reach = {{agent_id("c"), incarnation(9)}};
    EXPECT_NE(reaches.name(claim_request(options))->cached_reach_number,
              first->cached_reach_number);
}

TEST(delivered_reaches, are_recorded_for_each_replica_until_it_is_forgotten)
{
    delivered_reaches reaches;
    auto options = claim_by("x", "first");
    options.reach = two_agents;
    const auto number =
        reaches.name(claim_request(options))->cached_reach_number;
    EXPECT_FALSE(reaches.is_delivered(peer, number));
    reaches.note_delivered(peer, number);
    EXPECT_TRUE(reaches.is_delivered(peer, number));
    EXPECT_FALSE(reaches.is_delivered({"127.0.0.1", 8}, number));
    reaches.forget(peer);
    EXPECT_FALSE(reaches.is_delivered(peer, number));
}

} // namespace lagoonquay
