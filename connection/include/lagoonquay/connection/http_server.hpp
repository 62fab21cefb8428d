//! HTTP listener with limits on all input, and WebSocket links on one path.
//! At the limit of connections the longest idle one is closed for a new one, or
//! one whose request has been arriving for seconds; where there is none, the
//! new one gets status 503 and is closed. A request that does not arrive in
//! time gets status 408, one that gives way for want of memory 503; an idle
//! connection is closed.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace lagoonquay
{

class intake_budget;
class message_link;

struct http_server_options
{
    endpoint listen;
    std::size_t body_bytes = 32UL * 1024 * 1024;
    std::uint32_t header_bytes = 8192;
    std::size_t connections = 1024;
    //! Of the process; by default the listener has one of its own.
    std::shared_ptr<intake_budget> intake = nullptr;
    //! Requests that a client may have sent ahead, one after the other, before
    //! it has the answers; the connection closes after the answer to the last.
    std::size_t pipelined_requests = 50;
    duration idle_timeout = std::chrono::seconds(60);
    duration read_timeout = std::chrono::seconds(10); //!< for one request
    std::string bearer; //!< required token; empty admits everyone
    //! Names of the headers that handlers see.
    std::vector<std::string> kept_headers = {};
    std::string link_path; //!< path of WebSocket upgrades; empty for none
    //! Hears of what was turned away before a handler saw it; may be empty.
    std::function<void(http_status, std::string_view detail)> on_refused = {};
    //! Hears of a request that was read whole and whose response could not be
    //! written; `age` counts from the end of the request. May be empty.
    std::function<void(std::string_view path, duration age)> on_unsent = {};
    //! Hears of a connection that closes, after close_after_responses(), with
    //! input that no handler saw. `after_response` is set if the response to
    //! the request before it closed the connection. May be empty.
    std::function<void(std::size_t bytes, bool after_response)> on_unserved =
        {};
};

//! Takes over a link that a peer opened. Called from any I/O thread.
using link_handler = std::function<void(const std::shared_ptr<message_link>&)>;

//! Accepts connections until it is closed. Thread-safe.
class http_server
{
public:
    //! Starts to listen.
    //! @return the server, or bad_address / unreachable.
    static connection_result<http_server> listen(boost::asio::io_context& io,
                                                 http_server_options options,
                                                 http_handler handler,
                                                 link_handler on_link = {});

    http_server(http_server&&) noexcept;
    http_server& operator=(http_server&&) noexcept;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    //! @return the port in use, also where the options asked for port 0.
    std::uint16_t port() const noexcept;

    //! Accepts no more connections; requests in progress are answered and
    //! open connections go on.
    void stop_accepting();

    //! From now on each connection is closed after its next response.
    void close_after_responses() noexcept;

    //! Closes the connections on which nothing of a request has arrived. One
    //! whose request arrives at the same moment is served.
    void close_idle();

    //! @return open connections, links included.
    std::size_t open_connections() const noexcept;

    //! @return connections whose next request has arrived in part.
    std::size_t requests_arriving() const;

    //! @return whether it accepts nothing more and each connection has ended,
    //! or is a link by now.
    bool is_quiet() const;

    //! @return requests whose response is not written yet.
    std::size_t requests_in_progress() const noexcept;

private:
    struct state;
    explicit http_server(std::shared_ptr<state> shared) noexcept;
    std::shared_ptr<state> state_;
};

} // namespace lagoonquay
