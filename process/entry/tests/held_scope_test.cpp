// Which claims an entry tells a replica that began anew.
#include "fake_fleet.hpp"

#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::seconds;

//! An entry that holds claims, and its routes for other entries.
class held_scope : public testing::Test
{
protected:
    held_scope()
    {
        fleet_.run_time = [](const upstream_call&)
        {
            return seconds(20);
        };
        for (int n = 0; n < 20; ++n)
            fleet_.submit(
                0, job({.submission = submission_id("s" + std::to_string(n)),
                        .customer = customer_id("c"),
                        .created = fleet_.wall(),
                        .time_limit = seconds(30),
                        .idempotent = true,
                        .tasks = std::vector<task>(1)}));
        fleet_.run_for(seconds(1));
    }

    //! @return the response of the entry to a question with this body.
    http_response ask(const std::string& body)
    {
        const auto routes = peer_routes(fleet_.entry(0), ledger_, peers_, {});
        http_request request;
        request.path = "/v1/ledger/held";
        request.body = body;
        http_response told;
        routes(request, [&told](http_response it) { told = std::move(it); });
        return told;
    }

    //! @return the scope of one of so many entries that it leaves out some.
    static record_scope scope_of_one_in_many()
    {
        ledger_peer self;
        self.address = {"10.0.0.1", 1};
        self.domain = domain_id("d0");
        std::vector<ledger_peer> peers;
        for (int n = 2; n < 40; ++n)
        {
            ledger_peer peer;
            peer.address = {"10.0.0." + std::to_string(n), 1};
            peer.domain = domain_id("d" + std::to_string(n % 3));
            peers.push_back(peer);
        }
        return make_record_scope(self, peers);
    }

    fake_fleet fleet_{{}};
    ledger_replica ledger_{{.complete = true}, steady_now, wall_now};
    entry_peers peers_{"10.0.0.9:1", seconds(5), steady_now};
};

} // namespace

// Guards against a start that fills its link with claims that it does not vote
// on.
TEST_F(held_scope, leaves_out_claims_that_the_replica_does_not_vote_on)
{
    const auto scope = scope_of_one_in_many();
    const auto told = decode_held_claims(ask(encode_record_scope(scope)).body);
    ASSERT_TRUE(told);
    auto expected = fleet_.entry(0).held_claims();
    ASSERT_EQ(expected.size(), 20U);
    std::erase_if(expected, [&](const claim_request& it)
                  { return !covers(scope, it->submission); });
    EXPECT_GT(expected.size(), 0U);
    EXPECT_LT(expected.size(), 20U);
    EXPECT_EQ(told.value().claims, expected);
}

// An entry of an earlier version asks without a scope.
TEST_F(held_scope, tells_an_earlier_version_all)
{
    const auto told = decode_held_claims(ask({}).body);
    ASSERT_TRUE(told);
    EXPECT_EQ(told.value().claims.size(), 20U);
}

TEST_F(held_scope, rejects_what_is_no_scope)
{
    EXPECT_EQ(ask("x").status, http_status::bad_request);
    EXPECT_EQ(ask("[]").status, http_status::bad_request);
}

} // namespace lagoonquay
