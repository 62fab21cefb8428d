//! The WebSocket implementation of message_link.
#pragma once

#include "beast_common.hpp"
#include "lagoonquay/connection/intake_budget.hpp"
#include "lagoonquay/connection/message_link.hpp"

#include <atomic>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! A link over an accepted or connected WebSocket. Its stream's executor is
//! a strand, and every member but the counts is used on that strand only.
class websocket_link : public message_link,
                       public std::enable_shared_from_this<websocket_link>
{
public:
    using stream = websocket::stream<beast::tcp_stream>;

    websocket_link(stream opened, message_link_options options);

    //! Sets timeouts and limits; call before the handshake.
    static void prepare(stream& raw, const message_link_options& options);

    void start(link_hooks hooks) override;
    void send(link_message message) override;
    void close() override;
    link_counts counts() const noexcept override;
    duration time_since_received() const override;
    std::size_t unsent() const noexcept override;

private:
    void note_received() noexcept;
    void read();
    void on_read(error_code ec);
    void on_message();
    void pass_on(const std::vector<link_message>& messages);
    void write();
    void on_write(error_code ec);
    void end();
    void count(std::size_t sent, std::size_t received);

    stream stream_;
    link_hooks hooks_;
    beast::flat_buffer in_;
    const std::shared_ptr<intake_budget> intake_;
    std::shared_ptr<void> place_;
    std::optional<intake_account> held_;
    const std::shared_ptr<traffic_meter> traffic_;
    std::vector<link_message> pending_;
    std::string out_;
    std::size_t in_frame_ = 0; //!< messages in the frame being written
    bool writing_ = false;
    bool ended_ = false;
    bool started_ = false;
    bool message_begun_ = false; //!< a part of one has arrived
    std::atomic<instant> last_received_{steady_now()};
    std::atomic<std::size_t> unsent_{0};
    std::atomic<std::uint64_t> frames_sent_{0};
    std::atomic<std::uint64_t> messages_sent_{0};
    std::atomic<std::uint64_t> messages_received_{0};
};

} // namespace lagoonquay
