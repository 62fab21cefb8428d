//! Links with a rate between the nodes of a fleet, in virtual time.
#pragma once

#include "virtual_time.hpp"

#include "lagoonquay/connection/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace lagoonquay
{

struct rated_links_options
{
    std::size_t bytes_per_second = 3'125'000; //!< of each node, each way
    duration latency = std::chrono::microseconds(1500);
    //! Bytes that one transfer has on its way at most, as a channel's window.
    std::size_t window_bytes = 64 * 1024;

    friend bool operator==(const rated_links_options&,
                           const rated_links_options&) = default;
};

//! Each node has one link out and one in, which its transfers share in the
//! order of their packets. A request that times out gives up what is not on its
//! way yet.
class rated_links
{
public:
    //! Answers a request at a node.
    using server = std::function<http_response(const http_request&)>;

    rated_links(virtual_time& time, rated_links_options options);

    void serve(const endpoint& node, server answer);

    //! @return the hook by which a node sends its requests.
    http_send_hook sender(const endpoint& from);

    //! @return bytes that have arrived at a node.
    std::size_t received(const endpoint& node) const;

private:
    struct packet
    {
        std::size_t bytes = 0;
        std::function<void()> arrived;
    };
    struct link
    {
        std::deque<packet> waiting;
        bool busy = false;
    };
    struct transfer;
    struct exchange;

    void send(const endpoint& from, const endpoint& to,
              const http_request& request, duration timeout,
              const http_callback& done);
    void start(const std::shared_ptr<transfer>& it);
    void push(const std::shared_ptr<transfer>& it);
    void enqueue(link& through, packet it);
    void serve_next(link& through);

    virtual_time& time_;
    const rated_links_options options_;
    std::map<endpoint, server> servers_;
    std::map<endpoint, link> out_;
    std::map<endpoint, link> in_;
    std::map<endpoint, std::size_t> received_;
};

} // namespace lagoonquay
