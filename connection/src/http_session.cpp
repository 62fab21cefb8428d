// Life, waits, limits and end of a connection.
#include "http_session.hpp"

#include <utility>

namespace lagoonquay
{

namespace
{

//! Of an idle connection; most requests fit.
constexpr std::size_t idle_buffer_bytes = 4096;
//! A request that has been arriving for longer may be closed for a new
//! connection.
constexpr duration stalled_after = std::chrono::seconds(3);

} // namespace

bool listener_state::close_longest_waiting()
{
    return idle.close_longest() || arriving.close_longest(stalled_after);
}

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<listener_state> listener)
    : stream_(std::move(socket)), listener_(std::move(listener)),
      place_(std::make_shared<connection_place>(listener_))
{
    stream_.expires_never();
    ++listener_->sessions;
}

http_session::~http_session()
{
    --listener_->sessions;
}

// Other listeners may close the connection as soon as it waits for its peer, so
// everything happens on the strand.
void http_session::run()
{
    net::dispatch(stream_.get_executor(),
                  [self = shared_from_this()] { self->begin_serving(); });
}

void http_session::begin_serving()
{
    error_code ec;
    stream_.socket().set_option(tcp::no_delay(true), ec);
    held_.emplace(listener_->options.intake,
                  [weak = weak_from_this()]
                  {
                      const auto self = weak.lock();
                      if (!self)
                          return;
                      net::post(self->stream_.get_executor(),
                                [self, exchange = self->exchanges_.load()]
                                { self->abort_for_memory(exchange); });
                  });
    wait_for_request();
}

void http_session::refuse()
{
    ++listener_->in_progress;
    net::dispatch(stream_.get_executor(),
                  [self = shared_from_this()]
                  {
                      self->reject(
                          http_status::unavailable, "too_many_connections",
                          "the connection limit is reached; nothing was run");
                  });
}

// The idle timeout runs until the first byte, the read timeout from it. While
// it is idle the connection gives way to a new one at the limit.
void http_session::wait_for_request()
{
    if (closed_for_place_)
        return close();
    if (buffer_.size() > 0)
    {
        ++pipelined_;
        return read();
    }
    // What is sent ahead may end where a read ends, so that the count only
    // falls by and by.
    pipelined_ /= 2;
    if (buffer_.capacity() > 2 * idle_buffer_bytes)
        buffer_.shrink_to_fit();
    idle_ = listener_->idle.add(close_hook());
    start_limit(listener_->options.idle_timeout,
                [](http_session& it) { it.stream_.close(); });
    awaits_first_bytes_ = true;
    stream_.async_read_some(
        buffer_.prepare(idle_buffer_bytes),
        [self = shared_from_this()](error_code ec, std::size_t n)
        { self->on_first_bytes(ec, n); });
}

// The place is free at once, so that a new connection can have it.
std::function<bool()> http_session::close_hook()
{
    return [weak = weak_from_this(), wait = ++waits_]
    {
        const auto self = weak.lock();
        if (!self || !self->place_->release())
            return false;
        net::post(self->stream_.get_executor(),
                  [self, wait] { self->close_if_still_waiting(wait); });
        return true;
    };
}

void http_session::on_first_bytes(error_code ec, std::size_t size)
{
    listener_->idle.remove(idle_);
    ++waits_;
    end_limit();
    awaits_first_bytes_ = false;
    if (ec || closed_for_place_)
        return close();
    if (listener_->ending)
        place_->retake();
    buffer_.commit(size);
    read();
}

// If the peer has spoken meanwhile, its request is served in spite of it.
void http_session::close_if_still_waiting(std::uint64_t wait)
{
    if (wait != waits_)
        return place_->retake();
    // At the listener's end, what has been read by now is served.
    if (awaits_first_bytes_ && listener_->ending)
        return stream_.cancel();
    closed_for_place_ = true;
    close();
}

std::size_t http_session::held_bytes() const
{
    std::size_t bytes = header_memory_bytes_;
    if (buffer_.capacity() > 2 * idle_buffer_bytes)
        bytes += buffer_.capacity();
    if (!parser_->is_header_done())
        return bytes;
    return bytes + parser_->get().body().size();
}

// Called when the process holds too much and this exchange has lasted longest.
void http_session::abort_for_memory(std::uint64_t exchange)
{
    if (exchange != exchanges_)
        return;
    if (reading_)
    {
        aborted_for_memory_ = true;
        stream_.cancel();
        return;
    }
    if (writing_)
        close();
}

// One limit at a time. Those of Beast's stream close the socket, and the peer
// would not be told that its request came too slowly.
void http_session::start_limit(duration limit,
                               std::function<void(http_session&)> passed)
{
    end_limit();
    limit_ = listener_->limits->add(
        limit,
        [weak = weak_from_this(), passed = std::move(passed),
         number = limits_set_]
        {
            const auto self = weak.lock();
            if (!self)
                return;
            net::post(self->stream_.get_executor(),
                      [self, passed, number]
                      {
                          if (self->limit_ && self->limits_set_ == number)
                              passed(*self);
                      });
        });
}

void http_session::end_limit()
{
    if (!limit_)
        return;
    listener_->limits->remove(*limit_);
    limit_.reset();
    ++limits_set_;
}

// A socket that is closed with unread input is reset, and the peer may
// lose the response: so the input is read to its end, up to the timeout.
void http_session::finish_sending()
{
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    has_finished_ = true;
    discarded_ += buffer_.size();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    if (held_)
        held_->hold(0);
    if (closed_for_place_)
        return close();
    idle_ = listener_->idle.add(close_hook());
    discard();
}

// What arrives later than this is seen by nobody.
void http_session::tell_unserved()
{
    if (std::exchange(has_closed_, true) || !listener_->closing ||
        !listener_->options.on_unserved)
        return;
    error_code ec;
    const auto bytes = discarded_ + stream_.socket().available(ec);
    if (bytes > 0)
        listener_->options.on_unserved(bytes, has_finished_);
}

void http_session::close()
{
    tell_unserved();
    end_limit();
    listener_->idle.remove(idle_);
    listener_->arriving.remove(std::exchange(arriving_, 0));
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
}

} // namespace lagoonquay
