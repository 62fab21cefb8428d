//! HTTP client with kept-alive connections.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace lagoonquay
{

struct http_client_options
{
    std::size_t response_bytes = 32UL * 1024 * 1024;
    std::size_t idle_per_endpoint = 16;
    //! Shorter than any listener's idle timeout, so that a request is not
    //! written to a connection that the peer is closing.
    duration idle_reuse = std::chrono::seconds(5);
};

class traffic_meter;

//! Called once, from any I/O thread.
using http_callback = std::function<void(connection_result<http_response>)>;

//! Sends a request as http_client::send() does.
using http_send_hook =
    std::function<void(const endpoint& target, const http_request& request,
                       duration timeout, http_callback done)>;

//! Sends requests. Never resends one. Thread-safe.
class http_client
{
public:
    http_client(boost::asio::io_context& io, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    //! Sends a request; `done` gets the response, or timeout, unreachable,
    //! broken or too_large.
    void send(const endpoint& target, const http_request& request,
              duration timeout, http_callback done);

    //! @return send() of this client, which must outlive the hook.
    http_send_hook send_hook();

    //! @return what was exchanged, by path. Links that are given it add to it.
    const std::shared_ptr<traffic_meter>& traffic() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace lagoonquay
