// Connections of a listener that ends.
#include "http_server_fixture.hpp"

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
