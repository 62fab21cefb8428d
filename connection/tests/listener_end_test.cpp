// Connections of a listener that ends.
#include "http_server_fixture.hpp"

#include <atomic>
#include <boost/asio/post.hpp>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

namespace lagoonquay
{

namespace
{

constexpr std::string_view answered_body = "\r\n\r\nhello";

bool is_whole(const std::string& answer)
{
    return has_status(answer, "200") && answer.ends_with(answered_body);
}

//! Open connections that have each had an answer already.
std::vector<std::unique_ptr<raw_connection>>
used_connections(const http_server& server, std::size_t n)
{
    std::vector<std::unique_ptr<raw_connection>> all;
    for (; n > 0; --n)
    {
        all.push_back(std::make_unique<raw_connection>(server.port()));
        all.back()->send(post_hello);
        EXPECT_NE(all.back()->read_until("hello").find("hello"),
                  std::string::npos);
    }
    return all;
}

// Guards against half an answer, and against one that is lost, beside the close
// of an idle connection.
TEST_F(http_server_test, answers_whole_or_not_at_all_beside_a_close_of_idle)
{
    std::size_t answered = 0;
    std::size_t closed = 0;
    for (int round = 0; round < 30; ++round)
    {
        auto server = start({});
        const auto peers = used_connections(server, 8);
        std::thread senders(
            [&]
            {
                for (const auto& it : peers)
                    it->send(post_hello);
            });
        server.close_after_responses();
        server.stop_accepting();
        while (!server.is_quiet())
        {
            server.close_idle();
            std::this_thread::yield();
        }
        senders.join();
        for (const auto& it : peers)
        {
            const auto answer = it->read_to_end();
            EXPECT_TRUE(answer.empty() || is_whole(answer)) << answer;
            ++(answer.empty() ? closed : answered);
        }
    }
    RecordProperty("answered", static_cast<int>(answered));
    RecordProperty("closed", static_cast<int>(closed));
}

// Guards against a request that has been read as the listener says that it has
// nothing left: its connection was neither idle nor in work then.
TEST_F(http_server_test, is_not_quiet_beside_a_request_that_waits_for_a_thread)
{
    auto server = start({});
    const auto peers = used_connections(server, 1);
    server.close_after_responses();
    server.stop_accepting();
    while (raw_connection(server.port()).open())
        std::this_thread::yield();
    std::promise<void> busy;
    std::promise<void> go_on;
    boost::asio::post(thread_.io(),
                      [&]
                      {
                          busy.set_value();
                          go_on.get_future().wait();
                      });
    busy.get_future().wait();
    peers[0]->send(post_hello);
    server.close_idle();
    EXPECT_FALSE(server.is_quiet());
    EXPECT_FALSE(server.is_quiet());
    go_on.set_value();
    const auto answer = peers[0]->read_to_end();
    EXPECT_TRUE(answer.empty() || is_whole(answer)) << answer;
    while (!server.is_quiet())
        server.close_idle();
}

//! What a listener told of input that no handler saw.
struct unserved_input
{
    std::atomic<std::size_t> bytes{0};
    std::atomic<int> after_responses{0};
    std::atomic<int> connections{0};

    http_server_options options()
    {
        return limited(
            [this](http_server_options& it)
            {
                it.on_unserved = [this](std::size_t n, bool after_response)
                {
                    bytes += n;
                    after_responses += after_response ? 1 : 0;
                    ++connections;
                };
            });
    }
};

// Guards against a request without an answer that no log line tells of: its
// connection was closed, as idle, before it was read.
TEST_F(http_server_test, tells_of_a_request_that_was_never_read)
{
    for (int round = 0; round < 30; ++round)
    {
        unserved_input told;
        auto server = start(told.options());
        const auto peers = used_connections(server, 1);
        server.close_after_responses();
        server.stop_accepting();
        std::promise<void> busy;
        std::promise<void> go_on;
        boost::asio::post(thread_.io(),
                          [&]
                          {
                              busy.set_value();
                              go_on.get_future().wait();
                          });
        busy.get_future().wait();
        peers[0]->send(post_hello);
        server.close_idle();
        go_on.set_value();
        const auto answer = peers[0]->read_to_end();
        while (!server.is_quiet())
            server.close_idle();
        EXPECT_EQ(told.bytes, answer.empty() ? post_hello.size() : 0U);
        EXPECT_EQ(told.after_responses, 0);
        if (answer.empty())
            return;
    }
    FAIL() << "each request was read";
}

// Guards against the same of a request behind the last response.
TEST_F(http_server_test, tells_of_a_request_behind_the_last_response)
{
    unserved_input told;
    auto server = start(told.options());
    const auto peers = used_connections(server, 2);
    server.close_after_responses();
    peers[0]->send(post_hello + post_hello);
    EXPECT_TRUE(is_whole(peers[0]->read_to_end()));
    peers[1]->send(post_hello);
    EXPECT_TRUE(is_whole(peers[1]->read_to_end()));
    server.stop_accepting();
    while (!server.is_quiet())
        server.close_idle();
    EXPECT_EQ(told.bytes, post_hello.size());
    EXPECT_EQ(told.after_responses, 1);
    EXPECT_EQ(told.connections, 1);
}

// A request in parts, of which the last comes after idle ones were closed.
TEST_F(http_server_test, waits_for_the_rest_of_a_request_that_has_begun)
{
    auto server = start({});
    const auto peers = used_connections(server, 2);
    const auto half = post_hello.size() - 2;
    peers[0]->send(post_hello.substr(0, half));
    while (server.requests_arriving() == 0)
        std::this_thread::yield();
    server.close_after_responses();
    server.stop_accepting();
    // A connection turns idle a moment after its answer has come.
    while (server.open_connections() > 1)
        server.close_idle();
    EXPECT_EQ(peers[1]->read_to_end(), "");
    EXPECT_FALSE(server.is_quiet());
    peers[0]->send(post_hello.substr(half));
    EXPECT_TRUE(is_whole(peers[0]->read_to_end()));
    // The listener waits for the peer's end of stream.
    while (!server.is_quiet())
        server.close_idle();
}

} // namespace

} // namespace lagoonquay
