// The question for held claims, between entries of this version and others.
#include "lagoonquay/process/held_claims_http.hpp"
#include "lagoonquay/process/ledger_codec.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace lagoonquay
{

namespace
{

const endpoint peer{"10.0.0.1", 1};

held_claims some_claims()
{
    agent_reach::list agents;
    for (std::uint64_t n = 0; n < 68; ++n)
        agents.push_back({agent_id("agent-" + std::to_string(n)),
                          incarnation(8'000'000'000'000'000'000 + n)});
    return {.settled = true,
            .claims = {claim_request({.submission = submission_id("s"),
                                      .dated = false,
                                      .holder = entry_id("e"),
                                      .holder_address = "10.0.0.1:1",
                                      .round = claim_round(1),
                                      .lease = std::chrono::seconds(1),
                                      .reach = agent_reach(agents)})}};
}

class held_claims_http : public testing::Test
{
protected:
    //! Answers as an entry of this version, or of one before, which knows no
    //! query.
    http_send_hook sender()
    {
        return [this](const endpoint&, const http_request& request, duration,
                      const http_callback& done)
        {
            asked.push_back(request);
            answers.push_back(
                of_this_version
                    ? held_claims_response(request, told)
                    : http_response{.body = encode_held_claims(told)});
            done(answers.back());
        };
    }

    std::optional<held_claims> ask()
    {
        std::optional<held_claims> heard;
        request_held_claims(
            sender(), peer, known, [] { return true; },
            [&heard](const std::optional<held_claims>& it) { heard = it; });
        return heard;
    }

    held_claims told = some_claims();
    bool of_this_version = true;
    known_reaches known;
    std::vector<http_request> asked;
    std::vector<http_response> answers;
};

TEST_F(held_claims_http, tells_a_reach_once)
{
    EXPECT_EQ(ask(), told);
    EXPECT_EQ(ask(), told);
    EXPECT_GT(answers[0].body.size(), 2000U);
    EXPECT_LT(answers[1].body.size(), 500U);
}

TEST_F(held_claims_http, understands_a_peer_of_an_earlier_version)
{
    of_this_version = false;
    EXPECT_EQ(ask(), told);
    of_this_version = true;
    EXPECT_EQ(ask(), told);
    EXPECT_EQ(ask(), told);
}

TEST_F(held_claims_http, answers_an_earlier_version_in_its_form)
{
    http_request request;
    request.path = "/v1/ledger/held";
    const auto answer = held_claims_response(request, told);
    EXPECT_EQ(answer.body, encode_held_claims(told));
}

TEST_F(held_claims_http, rejects_what_are_no_digests)
{
    http_request request;
    request.query = "form=short&known=x";
    EXPECT_EQ(held_claims_response(request, told).status,
              http_status::bad_request);
}

} // namespace

} // namespace lagoonquay
