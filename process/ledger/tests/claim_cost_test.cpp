// Network traffic of the claims of one entry in a large fleet. Guards against
// issue 16: claims saturated the network links, so that no other traffic got
// through.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/traffic_meter.hpp"
#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <future>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr std::size_t entries = 12;
constexpr std::size_t agents = 64;
constexpr std::uint64_t jobs = 50;
// Claims may take a tenth of a link of 25 Mbit/s at 140 jobs a second.
constexpr std::uint64_t max_bytes_per_job = 25'000'000 / 8 / 10 / 140;

ledger_options complete_ledger()
{
    return {.complete = true};
}

claim_request claim_of(std::uint64_t number)
{
    std::vector<agent_run_id> reach;
    for (std::size_t n = 0; n < agents; ++n)
        reach.push_back({agent_id("side-binh-duong-" + std::to_string(n)),
                         incarnation(8'000'000'000'000'000'000 + n)});
    return claim_request(
        {.submission = submission_id("job-" + std::to_string(number)),
         .digest = content_digest(1),
         .dated = false,
         .holder = entry_id("frontend-binh-duong-1"),
         .holder_run = incarnation(9'000'000'000'000'000'000),
         .holder_address = "127.0.0.1:1",
         .ask = claim_sequence(number),
         .lease = std::chrono::seconds(5),
         .reach = std::move(reach)});
}

//! One ledger replica behind a listener.
class replica_host
{
public:
    explicit replica_host(io_threads& io)
    {
        restart();
        const auto claim = [this](const http_request& request, std::string_view,
                                  const http_responder& respond)
        {
            respond(claim_response(*ledger_, request.body));
        };
        auto listening = http_server::listen(
            io.context(), {.listen = {"127.0.0.1", 0}},
            route_requests({{http_method::post, "/v1/ledger/claim", claim}}));
        EXPECT_TRUE(listening);
        listener_.emplace(std::move(listening).value());
    }

    endpoint address() const
    {
        return {"127.0.0.1", listener_->port()};
    }

    //! Replaces the replica by an empty one. Call while no claim is in flight.
    void restart()
    {
        ledger_.emplace(complete_ledger(), steady_now, wall_now);
    }

private:
    std::optional<ledger_replica> ledger_;
    std::optional<http_server> listener_;
};

//! An entry that claims jobs at the replicas of eleven others.
class claim_cost : public testing::Test
{
protected:
    claim_cost() : local_(complete_ledger(), steady_now, wall_now)
    {
        for (std::size_t n = 1; n < entries; ++n)
            hosts_.push_back(std::make_unique<replica_host>(io_));
    }

    ~claim_cost() override
    {
        io_.stop();
    }

    std::vector<endpoint> peers() const
    {
        std::vector<endpoint> found;
        for (const auto& it : hosts_)
            found.push_back(it->address());
        return found;
    }

    void restart_all()
    {
        for (const auto& it : hosts_)
            it->restart();
    }

    //! Claims the jobs one after the other. @return the traffic of all claims.
    path_traffic claim_all()
    {
        const auto claim = claim_over_http(
            client_, local_,
            {.groups = groups, .timeout = std::chrono::minutes(1)}, steady_now);
        for (std::uint64_t n = 1; n <= jobs; ++n)
        {
            if (n == restart_before)
                restart_all();
            std::promise<claim_status> status;
            claim(claim_of(n), [&](const claim_outcome& it)
                  { status.set_value(it->status); });
            EXPECT_EQ(status.get_future().get(), claim_status::held);
        }
        const auto sums = client_.traffic()->read();
        EXPECT_EQ(sums.size(), 1U);
        return sums.empty() ? path_traffic() : sums.front();
    }

    replica_groups_hook groups = [this](const submission_id& submission)
    {
        return std::vector{all_replicas_group(submission, peers())};
    };
    std::uint64_t restart_before =
        0; //!< the job before which all replicas restart
    io_threads io_{1};
    http_client client_{io_.context(), {}};
    ledger_replica local_;
    std::vector<std::unique_ptr<replica_host>> hosts_;
};

} // namespace

TEST_F(claim_cost, in_a_large_fleet_use_at_most_a_tenth_of_a_link)
{
    const auto sum = claim_all();
    EXPECT_LE(sum.bytes_sent / jobs, max_bytes_per_job);
}

TEST_F(claim_cost, are_sent_to_no_more_replicas_than_a_majority)
{
    const auto sum = claim_all();
    const auto majority = entries / 2 + 1;
    EXPECT_LE(sum.exchanges, jobs * (majority - 1));
}

TEST_F(claim_cost, does_not_grow_with_the_fleet)
{
    groups = [this](const submission_id& submission)
    {
        std::vector<ledger_peer> others;
        for (const auto& it : peers())
            others.push_back({it, domain_id(), false});
        return choose_replica_groups(submission, {}, others);
    };
    const auto sum = claim_all();
    EXPECT_LE(sum.exchanges, jobs * (max_group_size / 2 + 1));
}

TEST_F(claim_cost, agents_are_sent_again_to_restarted_replicas)
{
    restart_before = jobs / 2;
    claim_all();
}

} // namespace lagoonquay
