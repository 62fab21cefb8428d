#include "websocket_link.hpp"

#include "lagoonquay/request/dispatch_codec.hpp"

namespace lagoonquay
{

websocket_link::websocket_link(stream opened, message_link_options options)
    : stream_(std::move(opened)), in_(options.frame_bytes)
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
    net::dispatch(stream_.get_executor(),
                  [self = shared_from_this(), h = std::move(hooks)]() mutable
                  {
                      self->hooks_ = std::move(h);
                      self->started_ = true;
                      self->read();
                  });
}

void websocket_link::send(link_message message)
{
    net::post(stream_.get_executor(),
              [self = shared_from_this(), m = std::move(message)]() mutable
              {
                  if (self->ended_)
                      return;
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

void websocket_link::read()
{
    stream_.async_read(in_,
                       [self = shared_from_this()](error_code ec, std::size_t)
                       { self->on_read(ec); });
}

void websocket_link::on_read(error_code ec)
{
    if (ec)
        return end();
    const auto bytes = in_.cdata();
    const std::string_view text(static_cast<const char*>(bytes.data()),
                                bytes.size());
    auto messages = decode_frame(text);
    in_.consume(in_.size());
    if (!messages)
    {
        beast::get_lowest_layer(stream_).close();
        return end();
    }
    messages_received_ += messages.value().size();
    if (hooks_.on_messages)
        hooks_.on_messages(messages.value());
    read();
}

void websocket_link::write()
{
    writing_ = true;
    out_ = encode_frame(pending_);
    messages_sent_ += pending_.size();
    ++frames_sent_;
    pending_.clear();
    stream_.text(true);
    stream_.async_write(net::buffer(out_),
                        [self = shared_from_this()](error_code ec, std::size_t)
                        { self->on_write(ec); });
}

void websocket_link::on_write(error_code ec)
{
    writing_ = false;
    if (ec)
        return end();
    if (!pending_.empty())
        write();
}

void websocket_link::end()
{
    if (ended_)
        return;
    ended_ = true;
    beast::get_lowest_layer(stream_).close();
    auto hooks = std::move(hooks_);
    hooks_ = {};
    if (hooks.on_close)
        hooks.on_close();
}

} // namespace lagoonquay
