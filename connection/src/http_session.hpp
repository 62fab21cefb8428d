//! One connection of an HTTP listener.
#pragma once

#include "beast_common.hpp"
#include "deadlines.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/intake_budget.hpp"
#include "request_body.hpp"
#include "waiting_connections.hpp"
#include "websocket_link.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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

    //! Closes the connection that waits longest for its peer, if there is one
    //! that may be closed.
    bool close_longest_waiting();

    const http_server_options options;
    const http_handler handler;
    const link_handler on_link;
    std::atomic<std::size_t> open{0};
    //! Connections that have not ended, those without a place included.
    std::atomic<std::size_t> sessions{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<bool> closing{false};
    std::atomic<bool> ending{false}; //!< idle connections are being closed
    waiting_connections idle;
    waiting_connections arriving; //!< a request has begun to arrive
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
        listener_->options.intake->take_place();
    }
    ~connection_place()
    {
        release();
    }
    connection_place(const connection_place&) = delete;
    connection_place& operator=(const connection_place&) = delete;

    //! @return whether it was held until now.
    bool release() noexcept
    {
        if (released_.exchange(true))
            return false;
        --listener_->open;
        listener_->options.intake->free_place();
        return true;
    }

    //! Takes the place again, beyond the limit if need be.
    void retake() noexcept
    {
        if (!released_.exchange(false))
            return;
        ++listener_->open;
        listener_->options.intake->take_place();
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
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    //! Serves requests until the connection ends.
    void run();

    //! Tells the peer that the connection is over the limit, and closes.
    void refuse();

private:
    void wait_for_request();
    void on_first_bytes(error_code ec, std::size_t size);
    void begin_serving();
    std::function<bool()> close_hook();
    void close_if_still_waiting(std::uint64_t wait);
    void read();
    void read_more();
    void on_more(error_code ec, std::size_t size);
    error_code parse_received();
    error_code check_unparsed() const;
    std::size_t held_bytes() const;
    void release_request();
    void abort_for_memory(std::uint64_t exchange);
    void start_limit(duration limit, std::function<void(http_session&)> passed);
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
    void close_unsent();
    void tell_unserved();
    void finish_sending();
    void discard();
    void close();

    beast::tcp_stream stream_;
    const std::shared_ptr<listener_state> listener_;
    const std::shared_ptr<connection_place> place_;
    std::optional<intake_account> held_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<request_body>> parser_;
    http_response answer_; //!< kept while it is written
    http::response<http::span_body<const char>> response_;
    std::optional<websocket_link::stream> socket_;
    std::size_t header_memory_bytes_ = 0; //!< estimate for the parsed header
    waiting_connections::number idle_ = 0;
    waiting_connections::number arriving_ = 0;
    std::optional<deadlines::handle> limit_; //!< of what is under way
    std::uint64_t limits_set_ = 0;
    //! Rises when a wait for the peer begins and when it ends.
    std::uint64_t waits_ = 0;
    //! Rises when a request begins to arrive or a response to go out.
    std::atomic<std::uint64_t> exchanges_{0};
    std::size_t pipelined_ = 0; //!< requests sent ahead, of late
    std::string path_;          //!< of the request in progress
    instant read_at_{};         //!< when it had arrived whole
    std::size_t discarded_ = 0; //!< bytes read after the last response
    bool has_finished_ = false; //!< the last response is written
    bool has_closed_ = false;
    bool awaits_first_bytes_ = false;
    bool reading_ = false;          //!< a request has begun to arrive
    bool timed_out_ = false;        //!< it did not arrive in time
    bool awaits_response_ = false;  //!< the handler has not answered yet
    bool closed_for_place_ = false; //!< closed while it waited for its peer
    bool aborted_for_memory_ =
        false;             //!< its request gave way for want of memory
    bool writing_ = false; //!< a response is not taken yet
    bool keep_alive_ = false;
};

} // namespace lagoonquay
