//! Two-way stream of typed messages over one WebSocket.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace lagoonquay
{

class intake_budget;
class traffic_meter;

struct message_link_options
{
    std::size_t frame_bytes = 32UL * 1024 * 1024;
    //! A link without any message or pong for this long is closed.
    duration silence = std::chrono::milliseconds(1200);
    //! Counts the link's frames, if there is one.
    std::shared_ptr<traffic_meter> traffic = nullptr;
    //! Counts what has arrived of a message, if there is one.
    std::shared_ptr<intake_budget> intake = nullptr;
    //! Kept until the link has ended: its place among the connections.
    std::shared_ptr<void> place = nullptr;
};

//! Hooks of a link. Each is called from one I/O thread at a time.
struct link_hooks
{
    std::function<void(const std::vector<link_message>&)> on_messages;
    std::function<void()> on_close; //!< last call of the link
};

//! Counts of a link since it opened.
struct link_counts
{
    std::uint64_t frames_sent = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;

    friend bool operator==(const link_counts&, const link_counts&) = default;
};

//! One open link. Thread-safe.
class message_link
{
public:
    virtual ~message_link() = default;

    //! Begins to read; messages before this wait in the socket.
    virtual void start(link_hooks hooks) = 0;

    //! Queues a message; what is queued goes out in as few frames as fit.
    virtual void send(link_message message) = 0;

    //! Closes the link; on_close follows.
    virtual void close() = 0;

    virtual link_counts counts() const noexcept = 0;

    //! @return the time since anything arrived from the peer, pongs included;
    //! zero if the link doesn't measure it.
    virtual duration time_since_received() const
    {
        return duration::zero();
    }

    //! @return messages queued or being written.
    virtual std::size_t unsent() const noexcept
    {
        return 0;
    }
};

//! Called once with an open link, or with the error.
using link_callback =
    std::function<void(connection_result<std::shared_ptr<message_link>>)>;

//! Opens a link to the listener's `path`. May be called from any thread.
void open_link(boost::asio::io_context& io, const endpoint& target,
               const std::string& path, message_link_options options,
               link_callback done);

} // namespace lagoonquay
