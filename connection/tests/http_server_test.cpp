#include "http_server_fixture.hpp"
#include "lagoonquay/connection/intake_budget.hpp"
#include "lagoonquay/connection/traffic_meter.hpp"

#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace lagoonquay
{

namespace
{

TEST_F(http_server_test, serves_pipelined_requests_in_order)
{
    const auto server = start({});
    const auto all =
        answer(server, post_hello + post + "Content-Length: 2\r\n\r\nhi" +
                           "GET /echo/last HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto first = all.find("hello");
    const auto second = all.find("hi", first);
    EXPECT_NE(first, std::string::npos);
    EXPECT_NE(second, std::string::npos);
    EXPECT_NE(all.find("last", second), std::string::npos);
}

TEST_F(http_server_test, answers_what_it_does_not_serve)
{
    const auto server = start({});
    const std::string end = " HTTP/1.1\r\nHost: h\r\n\r\n";
    EXPECT_TRUE(has_status(answer(server, "GET /none" + end), "404"));
    EXPECT_TRUE(has_status(answer(server, "POST /echo/" + end), "404"));
    const auto wrong_method = answer(server, "GET /echo" + end);
    EXPECT_TRUE(has_status(wrong_method, "405"));
    EXPECT_NE(wrong_method.find("Allow: POST"), std::string::npos);
    EXPECT_TRUE(has_status(answer(server, "PATCH /echo" + end), "405"));
}

TEST_F(http_server_test, refuses_a_body_over_the_limit)
{
    const auto server = start(limited([](auto& it) { it.body_bytes = 4; }));
    EXPECT_TRUE(has_status(answer(server, post_hello), "413"));
    const auto chunked =
        post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    EXPECT_TRUE(has_status(answer(server, chunked), "413"));
}

// Guards against requests that stop just short of their end, on so many
// connections that the process runs out of memory.
TEST_F(http_server_test, what_has_been_arriving_longest_gives_way)
{
    constexpr std::size_t body = 400'000;
    const auto intake =
        std::make_shared<intake_budget>(intake_options{.bytes = 700'000});
    const auto server = start(limited([&](auto& it) { it.intake = intake; }));
    const auto most = post + "Content-Length: " + std::to_string(body) +
                      "\r\n\r\n" + std::string(body - 1, 'x');
    const raw_connection first(server.port());
    first.send(most);
    for (int n = 0; n < 1000 && intake->bytes() < body - 1; ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const raw_connection second(server.port());
    second.send(most);
    const auto refused = first.read_until("nothing was run");
    EXPECT_TRUE(has_status(refused, "503")) << refused;
    EXPECT_NE(refused.find("Retry-After"), std::string::npos);
    second.send("x");
    EXPECT_TRUE(has_status(second.read_until("xxx"), "200"));
}

// Guards against pieces of a body of unknown length that are joined wrongly.
TEST_F(http_server_test, a_body_in_chunks_arrives_whole)
{
    const auto server = start({});
    std::string chunks;
    for (int n = 0; n < 100; ++n)
        chunks += "3e8\r\n" +
                  std::string(1000, static_cast<char>('a' + n % 26)) + "\r\n";
    const auto all =
        answer(server, post + "Transfer-Encoding: chunked\r\n\r\n" + chunks +
                           "0\r\n\r\n");
    EXPECT_TRUE(has_status(all, "200"));
    EXPECT_NE(all.find(std::string(1000, 'a') + std::string(1000, 'b')),
              std::string::npos);
    EXPECT_NE(all.find("Content-Length: 100000"), std::string::npos);
}

TEST_F(http_server_test, refuses_a_header_over_the_limit)
{
    const auto server = start(limited(
        [](auto& it)
        {
            it.body_bytes = 100;
            it.header_bytes = 200;
        }));
    const auto long_header = post + "X: " + std::string(5000, 'x') + "\r\n\r\n";
    EXPECT_TRUE(has_status(answer(server, long_header), "400"));
    EXPECT_TRUE(has_status(answer(server, post_hello), "200"));
}

TEST_F(http_server_test, closes_or_refuses_what_is_no_request)
{
    const auto server = start({});
    const std::string bad_starts[] = {
        "",
        std::string(1000, '\0'),
        "\x16\x03\x01\x02 hello",
        "GET\r\n\r\n",
        post + "Content-Length: -1\r\n\r\n",
        post + "Content-Length: 99999999999999999999\r\n\r\n",
        post + "Content-Length: 10\r\n\r\ncut",
        post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"};
    for (const auto& it : bad_starts)
    {
        const auto answered = answer(server, it);
        EXPECT_TRUE(answered.empty() || has_status(answered, "4")) << answered;
    }
    EXPECT_TRUE(has_status(answer(server, post_hello), "200"));
    EXPECT_EQ(server.requests_in_progress(), 0U);
}

TEST_F(http_server_test, closes_idle_connections_and_tells_slow_ones)
{
    const auto server = start(limited(
        [](auto& it)
        {
            it.idle_timeout = std::chrono::milliseconds(20);
            it.read_timeout = std::chrono::milliseconds(20);
        }));
    const raw_connection idle(server.port());
    EXPECT_EQ(idle.read_to_end(), "");
    const raw_connection slow(server.port());
    slow.send("POST /echo HT");
    EXPECT_TRUE(has_status(slow.read_to_end(), "408"));
    const raw_connection cut(server.port());
    cut.send(post + "Content-Length: 5\r\n\r\nhe");
    EXPECT_TRUE(has_status(cut.read_to_end(), "408"));
    EXPECT_EQ(server.requests_in_progress(), 0U);
}

TEST_F(http_server_test, refuses_a_connection_over_the_limit)
{
    std::promise<http_responder> held;
    std::promise<http_status> refused;
    const auto server =
        start(limited(
                  [&](auto& it)
                  {
                      it.connections = 1;
                      it.on_refused = [&](http_status status, std::string_view)
                      {
                          refused.set_value(status);
                      };
                  }),
              [&](const http_request&, const http_responder& respond)
              { held.set_value(respond); });
    const raw_connection first(server.port());
    first.send(post_hello);
    const auto respond = held.get_future().get();
    const raw_connection second(server.port());
    second.finish_sending();
    EXPECT_TRUE(has_status(second.read_to_end(), "503"));
    EXPECT_EQ(refused.get_future().get(), http_status::unavailable);
    respond({.body = "done"});
    EXPECT_TRUE(has_status(first.read_until("done"), "200"));
}

TEST_F(http_server_test, the_longest_idle_connection_gives_way_at_the_limit)
{
    const auto server = start(limited([](auto& it) { it.connections = 2; }));
    const raw_connection oldest(server.port());
    oldest.send(post_hello);
    EXPECT_TRUE(has_status(oldest.read_until("hello"), "200"));
    const raw_connection newer(server.port());
    newer.send(post_hello);
    EXPECT_TRUE(has_status(newer.read_until("hello"), "200"));
    const raw_connection added(server.port());
    added.send(post_hello);
    EXPECT_TRUE(has_status(added.read_until("hello"), "200"));
    EXPECT_EQ(oldest.read_to_end(), "");
    newer.send(post_hello);
    EXPECT_TRUE(has_status(newer.read_until("hello"), "200"));
}

TEST_F(http_server_test, many_silent_connections_keep_no_caller_out)
{
    constexpr std::size_t limit = 20;
    const auto server =
        start(limited([](auto& it) { it.connections = limit; }));
    std::vector<std::unique_ptr<raw_connection>> silent;
    for (std::size_t n = 0; n < 5 * limit; ++n)
        silent.push_back(std::make_unique<raw_connection>(server.port()));
    EXPECT_TRUE(has_status(answer(server, post_hello), "200"));
    EXPECT_LE(server.open_connections(), limit + 1);
}

TEST_F(http_server_test, needs_the_bearer_token)
{
    const auto server = start(limited([](auto& it) { it.bearer = "secret"; }));
    EXPECT_TRUE(has_status(answer(server, post_hello), "401"));
    const std::string body = "Content-Length: 0\r\n\r\n";
    const auto with = [&](const std::string& token)
    {
        return post + "Authorization: Bearer " + token + "\r\n" + body;
    };
    EXPECT_TRUE(has_status(answer(server, with("secreT")), "401"));
    EXPECT_TRUE(has_status(answer(server, with("secret2")), "401"));
    EXPECT_TRUE(has_status(answer(server, with("secret")), "200"));
}

TEST_F(http_server_test, counts_a_request_until_its_response_is_written)
{
    std::promise<http_responder> held;
    const auto server =
        start({}, [&](const http_request&, const http_responder& respond)
              { held.set_value(respond); });
    const raw_connection peer(server.port());
    peer.send(post_hello);
    const auto respond = held.get_future().get();
    EXPECT_EQ(server.requests_in_progress(), 1U);
    respond({.body = "done"});
    peer.finish_sending();
    EXPECT_NE(peer.read_to_end().find("done"), std::string::npos);
    EXPECT_EQ(server.requests_in_progress(), 0U);
}

TEST_F(http_server_test, an_error_in_a_handler_ends_its_request_only)
{
    std::vector<std::string> refused;
    auto options = limited(
        [&](auto& to)
        {
            to.on_refused = [&](http_status, std::string_view detail)
            {
                refused.emplace_back(detail);
            };
        });
    const auto server =
        start(std::move(options),
              [](const http_request& request, const http_responder& respond)
              {
                  if (request.path != "/fails")
                      respond({.body = "done"});
                  if (request.path != "/works")
                      throw std::runtime_error("unexpected");
              });
    const auto failed = answer(server, "GET /fails HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(has_status(failed, "500"));
    EXPECT_NE(failed.find("Connection: close"), std::string::npos);
    EXPECT_EQ(refused, std::vector<std::string>{"unexpected"});
    const auto answered = answer(server, "GET /late HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(has_status(answered, "200"));
    EXPECT_TRUE(
        has_status(answer(server, "GET /works HTTP/1.1\r\n\r\n"), "200"));
    EXPECT_EQ(server.requests_in_progress(), 0U);
    EXPECT_EQ(thread_.thrown, 0);
}

TEST_F(http_server_test, bytes_of_a_response_that_is_cut_off_are_counted)
{
    const auto server =
        start({}, [](const http_request&, const http_responder& respond)
              { respond({.body = std::string(100'000, 'x')}); });
    http_client client(thread_.io(), {.response_bytes = 90'000});
    std::promise<bool> whole;
    client.send({"127.0.0.1", server.port()}, {.path = "/large"},
                std::chrono::minutes(1),
                [&](const connection_result<http_response>& answer)
                { whole.set_value(answer.has_value()); });
    EXPECT_FALSE(whole.get_future().get());
    const auto sums = client.traffic()->read();
    ASSERT_EQ(sums.size(), 1U);
    EXPECT_EQ(sums.front().unanswered, 1U);
    EXPECT_GT(sums.front().bytes_received, 0U);
}

TEST_F(http_server_test, fails_a_task_whose_answer_can_not_be_delivered)
{
    EXPECT_TRUE(succeeded(call_upstream("fine")));
    const auto large = call_upstream(std::string(1001, 'x'));
    EXPECT_EQ(large->reason, failure_reason::upstream_failed);
    EXPECT_EQ(large->ran, effect::ran);
    const auto binary = call_upstream("\xff\xfe");
    EXPECT_EQ(binary->reason, failure_reason::upstream_failed);
    EXPECT_EQ(binary->ran, effect::ran);
    EXPECT_EQ(binary->detail, "the upstream's answer is not valid UTF-8");
}

} // namespace

} // namespace lagoonquay
