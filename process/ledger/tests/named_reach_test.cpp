// Claims that name their agents by the number of a reach sent before.
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/told_reaches.hpp"

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
            .ask = claim_ask(1),
            .lease = lease};
}

claim_request telling(claim_request_options options)
{
    options.named_reach = reach_number(1);
    options.reach = two_agents;
    return claim_request(std::move(options));
}

claim_request naming(claim_request_options options)
{
    options.named_reach = reach_number(1);
    options.tells_reach = false;
    return claim_request(std::move(options));
}

//! A replica whose clock is advanced by the test.
class replica_on_test_time
{
public:
    claim_vote claim(const claim_request& asked)
    {
        return ledger_.claim(asked);
    }

    void wait(duration span)
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

TEST(named_reach, is_known_to_an_adopter_of_a_claim_that_only_named_it)
{
    replica_on_test_time it;
    it.claim(telling(claim_by("x", "first")));
    EXPECT_EQ(it.claim(naming(claim_by("x", "second")))->verdict,
              claim_verdict::granted);
    it.wait(lease);
    const auto adopted = it.claim(claim_request(claim_by("y", "second")));
    EXPECT_EQ(adopted->reach, two_agents);
}

TEST(named_reach, gets_no_vote_where_it_was_not_told)
{
    replica_on_test_time it;
    EXPECT_EQ(it.claim(naming(claim_by("x", "first")))->verdict,
              claim_verdict::unknown_reach);
    EXPECT_EQ(it.claim(claim_request(claim_by("y", "first")))->verdict,
              claim_verdict::granted);
}

TEST(named_reach, of_another_life_of_the_holder_is_not_used)
{
    replica_on_test_time it;
    it.claim(telling(claim_by("x", "first")));
    auto later = claim_by("x", "second");
    later.holder_run = incarnation(2);
    EXPECT_EQ(it.claim(naming(later))->verdict, claim_verdict::unknown_reach);
}

TEST(named_reach, of_a_holder_that_claims_no_more_is_forgotten)
{
    replica_on_test_time it;
    it.claim(telling(claim_by("x", "first")));
    it.wait(std::chrono::hours(1));
    EXPECT_EQ(it.claim(naming(claim_by("x", "second")))->verdict,
              claim_verdict::unknown_reach);
}

TEST(named_reach, is_left_out_of_a_message_and_kept_by_its_number)
{
    const auto asked = naming(claim_by("x", "first"));
    const auto text = encode_claim_request(asked);
    EXPECT_EQ(text.find("\"reach\""), std::string::npos);
    const auto decoded = decode_claim_request(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), asked);
}

TEST(told_reaches, number_equal_reaches_alike)
{
    told_reaches it;
    auto options = claim_by("x", "first");
    options.reach = two_agents;
    const auto first = it.name(claim_request(options));
    options.reach =
        agent_reach(agent_reach::list(two_agents.begin(), two_agents.end()));
    EXPECT_EQ(it.name(claim_request(options))->named_reach, first->named_reach);
    options.reach = {{agent_id("c"), incarnation(9)}};
    EXPECT_NE(it.name(claim_request(options))->named_reach, first->named_reach);
}

TEST(told_reaches, are_told_once_to_each_replica_until_it_forgets)
{
    told_reaches it;
    auto options = claim_by("x", "first");
    options.reach = two_agents;
    const auto number = it.name(claim_request(options))->named_reach;
    EXPECT_FALSE(it.told(peer, number));
    it.note_told(peer, number);
    EXPECT_TRUE(it.told(peer, number));
    EXPECT_FALSE(it.told({"127.0.0.1", 8}, number));
    it.forget(peer);
    EXPECT_FALSE(it.told(peer, number));
}

} // namespace lagoonquay
