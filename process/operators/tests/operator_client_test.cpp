#include "lagoonquay/process/operator_client.hpp"

#include "lagoonquay/process/operator_output.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <gtest/gtest.h>
#include <map>

namespace lagoonquay
{

namespace
{

const endpoint first{"127.0.0.1", 1};
const endpoint second{"127.0.0.2", 1};
const endpoint third{"127.0.0.3", 1};

//! Replicas that answer to order and remember what they were asked.
class fake_replicas
{
public:
    //! The next answers of a replica; the last one stays.
    void answers(const endpoint& target,
                 std::vector<connection_result<http_response>> all)
    {
        answers_[target] = std::move(all);
    }

    operator_hooks hooks()
    {
        return {.send = [this](const endpoint& target, const http_request& it)
                { return send(target, it); },
                .pause =
                    [this](duration)
                {
                    ++pauses;
                }};
    }

    std::vector<endpoint> asked;
    std::vector<http_request> requests;
    int pauses = 0;

private:
    connection_result<http_response> send(const endpoint& target,
                                          const http_request& request)
    {
        asked.push_back(target);
        requests.push_back(request);
        auto& all = answers_[target];
        if (all.empty())
            return fail(connection_errc::unreachable, "refused");
        const auto next = all.front();
        if (all.size() > 1)
            all.erase(all.begin());
        return next;
    }

    std::map<endpoint, std::vector<connection_result<http_response>>> answers_;
};

operator_client_options options()
{
    operator_client_options it;
    it.replicas = {first, second, third};
    it.bearer = "token";
    it.rounds = 3;
    return it;
}

command take_out()
{
    return command({.id = command_id("c1"),
                    .author = "me",
                    .expected = {},
                    .what = set_domain{domain_id("d"), false}});
}

http_response accepted(std::uint64_t version)
{
    return {.body = encode_outcome({true, version_number(version), "me"})};
}

http_response refused(http_status status, const std::string& body)
{
    return {.status = status, .body = body};
}

TEST(operator_client, resends_the_same_command_after_a_lost_answer)
{
    fake_replicas replicas;
    replicas.answers(first, {fail(connection_errc::timeout, "lost")});
    replicas.answers(second, {accepted(7)});
    operator_client client(options(), replicas.hooks());
    const auto reply = client.run(take_out());
    ASSERT_TRUE(reply) << reply.error().detail;
    EXPECT_EQ(reply.value().outcome.version, version_number(7));
    EXPECT_EQ(reply.value().in_force_after, default_in_force_after);
    ASSERT_EQ(replicas.requests.size(), 2U);
    EXPECT_EQ(replicas.requests[0], replicas.requests[1]);
    EXPECT_EQ(replicas.requests[0].bearer, "token");
    EXPECT_EQ(decode_command(replicas.requests[0].body).value(), take_out());
}

TEST(operator_client, goes_to_the_leader_that_a_replica_names)
{
    fake_replicas replicas;
    replicas.answers(first, {refused(http_status::unavailable,
                                     R"({"error":"not_leader","detail":"",)"
                                     R"("leader":"127.0.0.3:1"})")});
    replicas.answers(third, {accepted(1)});
    operator_client client(options(), replicas.hooks());
    ASSERT_TRUE(client.run(take_out()));
    EXPECT_EQ(replicas.asked, (std::vector<endpoint>{first, third}));
}

TEST(operator_client, waits_through_an_election)
{
    const auto no_leader = refused(http_status::unavailable,
                                   R"({"error":"not_leader","detail":"none"})");
    fake_replicas replicas;
    replicas.answers(first, {no_leader, no_leader, accepted(1)});
    replicas.answers(second, {no_leader});
    operator_client client(options(), replicas.hooks());
    EXPECT_TRUE(client.run(take_out()));
    EXPECT_EQ(replicas.pauses, 2);
}

TEST(operator_client, gives_up_when_nobody_answers)
{
    fake_replicas replicas;
    operator_client client(options(), replicas.hooks());
    const auto reply = client.run(take_out());
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code, operator_errc::unreachable);
    EXPECT_EQ(replicas.asked.size(), 9U);
}

TEST(operator_client, ends_at_once_on_a_refusal)
{
    fake_replicas replicas;
    replicas.answers(first, {refused(http_status::bad_request,
                                     R"({"error":"x","detail":"why"})")});
    operator_client client(options(), replicas.hooks());
    const auto rejected = client.run(take_out());
    ASSERT_FALSE(rejected);
    EXPECT_EQ(rejected.error().code, operator_errc::rejected);
    EXPECT_EQ(rejected.error().detail, "127.0.0.1:1: why");
    replicas.answers(first, {refused(http_status::unauthorized, "{}")});
    EXPECT_EQ(client.run(take_out()).error().code, operator_errc::unauthorized);
    EXPECT_EQ(replicas.asked.size(), 2U);
}

TEST(operator_client, tells_a_conflict_with_its_author)
{
    fake_replicas replicas;
    replicas.answers(first,
                     {refused(http_status::conflict,
                              R"({"accepted":false,"version":9,)"
                              R"("author":"other","in_force_after_ms":5})")});
    operator_client client(options(), replicas.hooks());
    const auto reply = client.run(take_out());
    ASSERT_TRUE(reply);
    EXPECT_FALSE(reply.value().outcome.accepted);
    EXPECT_EQ(reply.value().in_force_after, std::chrono::milliseconds(5));
    EXPECT_EQ(reply_text(take_out(), reply.value()),
              "not applied: version 9 is in force; made by 'other'\n");
}

http_response view_of(std::uint64_t version)
{
    fleet_view_options view;
    view.version = version_number(version);
    view.out_domains = {domain_id("d")};
    view.settings = "[customer:big]\nreason = the largest customer\n";
    return {.body = encode_replica_view(fleet_view(std::move(view)))};
}

const http_response dump{
    .body = R"({"id":"r","members":[{"role":"agent","id":"a","domain":"d",)"
            R"("address":"127.0.0.1:9","slots":8,"serving":true}]})"};

TEST(operator_client, finds_a_domain_that_nobody_knows)
{
    fleet_status status;
    status.answered.push_back({first, "r", {}, {{"agent", "a", "d"}}});
    EXPECT_FALSE(unknown_target(status, set_domain{domain_id("d"), false}));
    EXPECT_TRUE(unknown_target(status, set_domain{domain_id("D"), false}));
    EXPECT_FALSE(unknown_target(status, set_domain{domain_id("D"), true}));
    EXPECT_FALSE(unknown_target(status, set_agent_drain{agent_id("a"), true}));
    EXPECT_TRUE(unknown_target(status, set_entry_drain{entry_id("a"), true}));
}

TEST(operator_client, takes_the_newest_of_the_views)
{
    fake_replicas replicas;
    replicas.answers(first, {view_of(4), dump});
    replicas.answers(third, {view_of(5), dump});
    operator_client client(options(), replicas.hooks());
    const auto status = client.status();
    ASSERT_TRUE(status) << status.error().detail;
    EXPECT_EQ(status.value().view()->version, version_number(5));
    EXPECT_TRUE(status.value().has_quorum());
    EXPECT_EQ(status.value().members().size(), 1U);
    const auto text = status_text(status.value());
    EXPECT_NE(text.find("d: OUT, 0 entries, 1 agents, 1 serving, 8 slots"),
              std::string::npos)
        << text;
    EXPECT_EQ(exceptions_text(exceptions_in(status.value().view()->settings)),
              "[customer:big]\n  reason = the largest customer\n");
}

} // namespace

} // namespace lagoonquay
