// Links that a listener serves beside its requests.
#include "http_server_fixture.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/request/dispatch_codec.hpp"

#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace lagoonquay
{

namespace
{

//! @return a masked WebSocket frame as a client sends it; the mask is zero.
std::string frame(const std::string& text)
{
    return std::string("\x81") + static_cast<char>(0x80U | text.size()) +
           std::string(4, '\0') + text;
}

const std::string open_link_request =
    "GET /v1/link HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
    "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

//! Tells a test that a link closed. Shared with the hooks, since links still
//! close while and after a test ends.
class close_note
{
public:
    void set()
    {
        std::call_once(once_, [this] { closed_.set_value(); });
    }
    void wait()
    {
        closed_.get_future().wait();
    }

private:
    std::once_flag once_;
    std::promise<void> closed_;
};

// Which messages took effect is unknown, so the link does not go on.
TEST_F(http_server_test, an_error_in_a_hook_of_a_link_closes_it)
{
    const auto closed = std::make_shared<close_note>();
    auto options = limited([](auto& to) { to.link_path = "/v1/link"; });
    options.listen = {"127.0.0.1", 0};
    const auto server = http_server::listen(
        thread_.io(), options, echo_routes(),
        [closed](const std::shared_ptr<message_link>& link)
        {
            link->start({.on_messages = [](const auto&)
                         { throw std::runtime_error("unexpected"); },
                         .on_close =
                             [closed]
                         {
                             closed->set();
                         }});
        });
    ASSERT_TRUE(server);
    const raw_connection peer(server.value().port());
    peer.send(open_link_request);
    EXPECT_TRUE(has_status(peer.read_until("\r\n\r\n"), "101"));
    peer.send(frame(encode_frame({return_message{}})));
    closed->wait();
    const raw_connection next(server.value().port());
    next.send(open_link_request);
    EXPECT_TRUE(has_status(next.read_until("\r\n\r\n"), "101"));
    EXPECT_EQ(thread_.thrown, 1);
}

TEST_F(http_server_test, closes_a_link_that_sends_what_is_no_frame)
{
    const std::string bad[] = {
        frame("{}"), frame("[1]"), frame("[{\"type\":\"none\"}]"),
        frame("\xff\xfe"), frame("[{\"type\":\"grant\"}]"),
        // A frame of 2^62 bytes, and one with reserved bits.
        std::string("\x81\xff\x40\0\0\0\0\0\0\0\0\0\0\0", 14),
        std::string("\xff\x80\0\0\0\0", 6)};
    for (const auto& it : bad)
    {
        const auto closed = std::make_shared<close_note>();
        auto options = limited([](auto& to) { to.link_path = "/v1/link"; });
        options.listen = {"127.0.0.1", 0};
        const auto server =
            http_server::listen(thread_.io(), options, echo_routes(),
                                [closed](const auto& link)
                                {
                                    link->start({.on_messages = {},
                                                 .on_close = [closed]
                                                 {
                                                     closed->set();
                                                 }});
                                });
        ASSERT_TRUE(server);
        const raw_connection peer(server.value().port());
        peer.send(open_link_request);
        EXPECT_TRUE(has_status(peer.read_until("\r\n\r\n"), "101"));
        peer.send(it);
        closed->wait();
    }
}

// Guards against a quiet path that is taken for a silent one.
TEST_F(http_server_test, a_ping_counts_as_received_on_a_link)
{
    std::promise<std::shared_ptr<message_link>> opened;
    auto options = limited([](auto& to) { to.link_path = "/v1/link"; });
    options.listen = {"127.0.0.1", 0};
    const auto server =
        http_server::listen(thread_.io(), options, echo_routes(),
                            [&](const std::shared_ptr<message_link>& link)
                            {
                                link->start({});
                                opened.set_value(link);
                            });
    ASSERT_TRUE(server);
    const raw_connection peer(server.value().port());
    peer.send(open_link_request);
    EXPECT_TRUE(has_status(peer.read_until("\r\n\r\n"), "101"));
    const auto link = opened.get_future().get();
    const auto pause = std::chrono::milliseconds(50);
    std::this_thread::sleep_for(pause);
    EXPECT_GE(link->time_since_received(), pause);
    const auto before = steady_now();
    peer.send(std::string("\x89\x80\0\0\0\0", 6));
    EXPECT_NE(peer.read_until("\x8a").find('\x8a'), std::string::npos);
    const auto since = link->time_since_received();
    EXPECT_LE(since, steady_now() - before);
    link->close();
}

} // namespace

} // namespace lagoonquay
