//! One connection of an HTTP listener.
#pragma once

#include "beast_common.hpp"
#include "deadlines.hpp"
#include "idle_connections.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "websocket_link.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string_view>

namespace lagoonquay
{

//! What the connections of one listener share.
struct listener_state
{
    listener_state(net::io_context& io, http_server_options o, http_handler h,
                   link_handler l)
        : options(std::move(o)), handler(std::move(h)), on_link(std::move(l)),
          limits(std::make_shared<deadlines>(io))
    {
    }

    const http_server_options options;
    const http_handler handler;
    const link_handler on_link;
    std::atomic<std::size_t> open{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<bool> closing{false};
    idle_connections idle;
    const std::shared_ptr<deadlines> limits;
};

//! Holds one place of the connection limit. Thread-safe.
class connection_place
{
public:
    explicit connection_place(std::shared_ptr<listener_state> listener)
        : listener_(std::move(listener))
    {
        ++listener_->open;
    }
    ~connection_place()
    {
        release();
    }
    connection_place(const connection_place&) = delete;
    connection_place& operator=(const connection_place&) = delete;

    void release() noexcept
    {
        if (!released_.exchange(true))
            --listener_->open;
    }

private:
    const std::shared_ptr<listener_state> listener_;
    std::atomic<bool> released_{false};
};

//! Serves one connection; its members are used on the socket's strand.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(tcp::socket socket, std::shared_ptr<listener_state> listener);

    //! Serves requests until the connection ends.
    void run();

    //! Tells the peer that the connection is over the limit, and closes.
    void refuse();

private:
    void wait_for_request();
    void on_first_bytes(error_code ec, std::size_t size);
    void give_way();
    void read();
    error_code parse_received();
    template <typename Passed>
    void start_limit(duration limit, Passed passed);
    void end_limit();
    void on_read(error_code ec);
    void refuse_request(error_code ec);
    void serve();
    bool admitted(const http_request& request) const noexcept;
    void upgrade();
    void reject(http_status status, std::string_view code,
                std::string_view detail);
    void post_response(http_response answer);
    void fail_request(std::string_view error);
    void respond(http_response answer);
    void finish_sending();
    void discard();
    void close();

    beast::tcp_stream stream_;
    const std::shared_ptr<listener_state> listener_;
    connection_place place_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::optional<websocket_link::stream> socket_;
    idle_connections::number idle_ = 0;
    std::optional<deadlines::handle> limit_; //!< of what is under way
    std::uint64_t limits_set_ = 0;
    bool reading_ = false;         //!< a request has begun to arrive
    bool timed_out_ = false;       //!< it did not arrive in time
    bool awaits_response_ = false; //!< the handler has not answered yet
    bool gave_way_ = false;        //!< closed while it was idle
    bool keep_alive_ = false;
};

} // namespace lagoonquay
