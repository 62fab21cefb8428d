// Claims of an entry whose peers refuse connections, because they have ended or
// because a cut refuses connections.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <future>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

//! @return a loopback address at which nothing listens any more.
endpoint refusing_address(io_threads& io)
{
    const auto closed = http_server::listen(
        io.context(), {.listen = {"127.0.0.1", 0}}, route_requests({}));
    return {"127.0.0.1", closed.value().port()};
}

//! An entry whose two peers refuse connections.
class claims_in_a_cut : public testing::Test
{
protected:
    claim_status claim()
    {
        const auto ask = claim_over_http(
            client, ledger,
            {.groups = [this](const submission_id&)
             { return std::vector{replica_group{.others = peers}}; },
             .after = {},
             .patience = {},
             .refusal_proves_end =
                 [this]
             {
                 return in_touch;
             }},
            steady_now);
        std::promise<claim_status> decided;
        ask(claim_request({.submission = submission_id("s"),
                           .digest = content_digest(1),
                           .dated = false,
                           .holder = entry_id("e"),
                           .holder_run = incarnation(1),
                           .holder_address = "127.0.0.1:1",
                           .ask = claim_sequence(1),
                           .lease = std::chrono::seconds(5)}),
            [&decided](const claim_outcome& it)
            { decided.set_value(it->status); });
        return decided.get_future().get();
    }

    io_threads io{1};
    http_client client{io.context(), {}};
    ledger_replica ledger{{.complete = true}, steady_now, wall_now};
    std::vector<endpoint> peers{refusing_address(io), refusing_address(io)};
    bool in_touch = true;
};

} // namespace

// Guards against two entries that held one claim: the one that was cut off took
// its peers, which refused connections, for ended and granted itself the claim.
TEST_F(claims_in_a_cut, are_not_granted_by_one_replica_that_is_cut_off)
{
    in_touch = false;
    EXPECT_EQ(claim(), claim_status::unavailable);
}

TEST_F(claims_in_a_cut, are_granted_once_the_other_replicas_have_ended)
{
    EXPECT_EQ(claim(), claim_status::held);
}

} // namespace lagoonquay
