// Reading and parsing of the requests of a connection.
#include "http_session.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::size_t min_read_bytes = 4096;
constexpr std::size_t max_read_bytes = 65536;
//! A field of a header takes about 100 bytes of memory beside its text and has
//! 5 bytes of text at least.
constexpr std::size_t max_overhead_for_each_byte = 20;

} // namespace

// Most requests arrive in one piece; no read is needed for these.
void http_session::read()
{
    reading_ = true;
    ++exchanges_;
    held_->begin();
    timed_out_ = false;
    aborted_for_memory_ = false;
    header_memory_bytes_ = 0;
    parser_.emplace();
    parser_->header_limit(listener_->options.header_bytes);
    parser_->body_limit(listener_->options.body_bytes);
    const auto ec = parse_received();
    if (ec || parser_->is_done())
        return on_read(ec);
    start_limit(listener_->options.read_timeout,
                [](http_session& it)
                {
                    it.timed_out_ = true;
                    it.stream_.cancel();
                });
    arriving_ = listener_->arriving.add(close_hook());
    read_more();
}

void http_session::read_more()
{
    held_->hold(held_bytes());
    std::uint64_t expected = min_read_bytes;
    if (parser_->is_header_done())
        expected = parser_->content_length_remaining().value_or(expected);
    const auto size =
        std::clamp<std::uint64_t>(expected, min_read_bytes, max_read_bytes);
    stream_.async_read_some(
        buffer_.prepare(static_cast<std::size_t>(size)),
        [self = shared_from_this()](error_code ec, std::size_t n)
        { self->on_more(ec, n); });
}

void http_session::on_more(error_code ec, std::size_t size)
{
    if (closed_for_place_)
        return close();
    if (ec == net::error::eof)
        ec = http::error::partial_message;
    // A read that has ended already can't be cancelled.
    if (!ec && (aborted_for_memory_ || timed_out_))
        ec = net::error::operation_aborted;
    if (ec)
        return on_read(ec);
    buffer_.commit(size);
    ec = parse_received();
    if (ec || parser_->is_done())
        return on_read(ec);
    read_more();
}

// After the header only the head of a chunk and the fields after the last one
// are kept until they are whole.
error_code http_session::check_unparsed() const
{
    if (parser_->is_header_done() &&
        buffer_.size() > listener_->options.header_bytes)
        return http::error::header_limit;
    return {};
}

error_code http_session::parse_received()
{
    error_code ec;
    while (buffer_.size() > 0 && !parser_->is_done())
    {
        const bool in_header = !parser_->is_header_done();
        parser_->eager(!in_header);
        const auto n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (in_header)
            header_memory_bytes_ += n * max_overhead_for_each_byte;
        if (ec == http::error::need_more)
            return check_unparsed();
        if (ec)
            return ec;
    }
    return ec;
}

void http_session::on_read(error_code ec)
{
    reading_ = false;
    ++waits_;
    listener_->arriving.remove(std::exchange(arriving_, 0));
    end_limit();
    ++listener_->in_progress;
    if (ec)
        return refuse_request(ec);
    if (websocket::is_upgrade(parser_->get()))
        return upgrade();
    serve();
}

void http_session::discard()
{
    stream_.async_read_some(
        buffer_.prepare(min_read_bytes),
        [self = shared_from_this()](error_code ec, std::size_t size)
        {
            self->discarded_ += size;
            if (ec)
                return self->close();
            self->discard();
        });
}

} // namespace lagoonquay
