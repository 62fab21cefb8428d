#include "websocket_link.hpp"

#include "lagoonquay/connection/traffic_meter.hpp"
#include "lagoonquay/request/dispatch_codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace lagoonquay
{

namespace
{

// A frame stays well below the peer's limit, also when its text is escaped:
// JSON writes one byte as six at the worst.
constexpr std::size_t batch_bytes = 2UL * 1024 * 1024;

//! In which a message arrives where nobody stalls.
constexpr duration usual_message_time = std::chrono::seconds(1);
constexpr std::size_t max_idle_buffer_bytes = 64UL * 1024;

constexpr std::size_t item_bytes = 64; // of a query or of its answer

//! @return roughly the text that a message carries.
std::size_t weight_of(const link_message& message)
{
    if (const auto* it = std::get_if<dispatch_message>(&message))
        return it->work->payload.size();
    if (const auto* it = std::get_if<result_message>(&message))
        return it->result->body.size() + it->result->detail.size();
    if (const auto* it = std::get_if<query_message>(&message))
        return it->items.size() * item_bytes;
    if (const auto* it = std::get_if<status_message>(&message))
        return it->items.size() * item_bytes;
    return 0;
}

//! Takes the oldest messages that fit into one frame; at least one.
std::vector<link_message> take_batch(std::vector<link_message>& pending)
{
    std::size_t bytes = 0;
    auto end = pending.begin();
    while (end != pending.end())
    {
        bytes += weight_of(*end);
        if (bytes > batch_bytes && end != pending.begin())
            break;
        ++end;
    }
    std::vector<link_message> batch(std::make_move_iterator(pending.begin()),
                                    std::make_move_iterator(end));
    pending.erase(pending.begin(), end);
    return batch;
}

} // namespace

websocket_link::websocket_link(stream opened, message_link_options options)
    : stream_(std::move(opened)), in_(options.frame_bytes),
      intake_(std::move(options.intake)), place_(std::move(options.place)),
      traffic_(std::move(options.traffic))
{
}

void websocket_link::prepare(stream& raw, const message_link_options& options)
{
    websocket::stream_base::timeout limits{};
    limits.handshake_timeout = options.silence;
    limits.idle_timeout = options.silence;
    limits.keep_alive_pings = true;
    raw.set_option(limits);
    raw.read_message_max(options.frame_bytes);
    raw.auto_fragment(false);
    beast::get_lowest_layer(raw).expires_never();
}

void websocket_link::start(link_hooks hooks)
{
    net::dispatch(
        stream_.get_executor(),
        [self = shared_from_this(), h = std::move(hooks)]() mutable
        {
            self->hooks_ = std::move(h);
            self->started_ = true;
            self->stream_.control_callback(
                [link = self.get()](websocket::frame_type, beast::string_view)
                { link->note_received(); });
            if (self->intake_)
                self->held_.emplace(self->intake_,
                                    [weak = self->weak_from_this()]
                                    {
                                        if (const auto link = weak.lock())
                                            link->close();
                                    });
            self->read();
        });
}

void websocket_link::send(link_message message)
{
    ++unsent_;
    net::post(stream_.get_executor(),
              [self = shared_from_this(), m = std::move(message)]() mutable
              {
                  if (self->ended_)
                  {
                      --self->unsent_;
                      return;
                  }
                  self->pending_.push_back(std::move(m));
                  if (!self->writing_)
                      self->write();
              });
}

void websocket_link::close()
{
    net::post(stream_.get_executor(),
              [self = shared_from_this()]
              {
                  beast::get_lowest_layer(self->stream_).close();
                  self->end();
              });
}

link_counts websocket_link::counts() const noexcept
{
    return {frames_sent_, messages_sent_, messages_received_};
}

duration websocket_link::time_since_received() const
{
    return steady_now() - last_received_.load();
}

std::size_t websocket_link::unsent() const noexcept
{
    return unsent_;
}

void websocket_link::note_received() noexcept
{
    last_received_ = steady_now();
}

void websocket_link::read()
{
    stream_.async_read_some(
        in_, 0,
        [self = shared_from_this()](error_code ec, std::size_t)
        { self->on_read(ec); });
}

void websocket_link::on_read(error_code ec)
{
    if (ec)
        return end();
    note_received();
    if (stream_.is_message_done())
        return on_message();
    if (held_)
    {
        if (!std::exchange(message_begun_, true))
            held_->begin(usual_message_time);
        held_->hold(in_.capacity());
    }
    read();
}

void websocket_link::on_message()
{
    const auto bytes = in_.cdata();
    const std::string_view text(static_cast<const char*>(bytes.data()),
                                bytes.size());
    count(0, text.size());
    auto messages = decode_frame(text);
    in_.consume(in_.size());
    if (in_.capacity() > max_idle_buffer_bytes)
        in_.shrink_to_fit();
    if (held_)
        held_->hold(0);
    message_begun_ = false;
    if (!messages)
    {
        beast::get_lowest_layer(stream_).close();
        return end();
    }
    messages_received_ += messages.value().size();
    pass_on(messages.value());
    read();
}

// Which messages took effect before an exception is unknown, as after the loss
// of the link, so the link ends.
void websocket_link::pass_on(const std::vector<link_message>& messages)
{
    if (!hooks_.on_messages)
        return;
    try
    {
        hooks_.on_messages(messages);
    }
    catch (...)
    {
        end();
        throw;
    }
}

void websocket_link::write()
{
    writing_ = true;
    const auto batch = take_batch(pending_);
    in_frame_ = batch.size();
    out_ = encode_frame(batch);
    messages_sent_ += batch.size();
    ++frames_sent_;
    count(out_.size(), 0);
    stream_.text(true);
    stream_.async_write(net::buffer(out_),
                        [self = shared_from_this()](error_code ec, std::size_t)
                        { self->on_write(ec); });
}

void websocket_link::on_write(error_code ec)
{
    writing_ = false;
    unsent_ -= in_frame_;
    in_frame_ = 0;
    if (ec)
        return end();
    if (!pending_.empty())
        write();
}

void websocket_link::count(std::size_t sent, std::size_t received)
{
    if (!traffic_)
        return;
    traffic_->add({.path = "link",
                   .exchanges = 1,
                   .bytes_sent = sent,
                   .bytes_received = received});
}

void websocket_link::end()
{
    if (ended_)
        return;
    ended_ = true;
    unsent_ -= pending_.size();
    pending_.clear();
    held_.reset();
    place_.reset();
    beast::get_lowest_layer(stream_).close();
    auto hooks = std::move(hooks_);
    hooks_ = {};
    if (hooks.on_close)
        hooks.on_close();
}

} // namespace lagoonquay
