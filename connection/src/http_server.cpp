#include "lagoonquay/connection/http_server.hpp"

#include "beast_common.hpp"
#include "websocket_link.hpp"

#include <atomic>
#include <optional>

namespace lagoonquay
{

struct http_server::state
{
    state(net::io_context& io, http_server_options o, http_handler h,
          link_handler l)
        : options(std::move(o)), handler(std::move(h)), on_link(std::move(l)),
          acceptor(net::make_strand(io)), context(io)
    {
    }

    const http_server_options options;
    const http_handler handler;
    const link_handler on_link;
    tcp::acceptor acceptor;
    net::io_context& context;
    std::uint16_t port = 0;
    const std::shared_ptr<std::atomic<std::size_t>> open =
        std::make_shared<std::atomic<std::size_t>>(0);
    std::atomic<std::size_t> in_progress{0};
    std::atomic<bool> closing{false};
};

namespace
{

http_method method_of(http::verb verb) noexcept
{
    switch (verb)
    {
    case http::verb::get:
        return http_method::get;
    case http::verb::post:
        return http_method::post;
    case http::verb::put:
        return http_method::put;
    case http::verb::delete_:
        return http_method::remove;
    default:
        return http_method::other;
    }
}

std::string bearer_of(std::string_view header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (header.substr(0, scheme.size()) != scheme)
        return {};
    return std::string(header.substr(scheme.size()));
}

http_request to_request(http::request<http::string_body>&& raw,
                        const std::vector<std::string>& kept)
{
    const std::string target(raw.target());
    const auto mark = target.find('?');
    http_request request;
    request.method = method_of(raw.method());
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = target.substr(mark + 1);
    const auto authorization = raw[http::field::authorization];
    request.bearer = bearer_of({authorization.data(), authorization.size()});
    const auto host = raw[http::field::host];
    request.host.assign(host.data(), host.size());
    for (const auto& name : kept)
    {
        const auto value = raw[name];
        if (!value.empty())
            request.headers.push_back(
                {name, std::string(value.data(), value.size())});
    }
    request.body = std::move(raw.body());
    return request;
}

//! Holds one place of the connection limit.
class connection_place
{
public:
    explicit connection_place(std::shared_ptr<std::atomic<std::size_t>> count)
        : count_(std::move(count))
    {
        ++*count_;
    }
    ~connection_place()
    {
        --*count_;
    }
    connection_place(const connection_place&) = delete;
    connection_place& operator=(const connection_place&) = delete;

private:
    std::shared_ptr<std::atomic<std::size_t>> count_;
};

//! Serves one connection; all members are used on the socket's strand.
template <typename State>
class http_session : public std::enable_shared_from_this<http_session<State>>
{
public:
    http_session(tcp::socket socket, std::shared_ptr<State> server,
                 std::shared_ptr<connection_place> place)
        : stream_(std::move(socket)), server_(std::move(server)),
          place_(std::move(place))
    {
    }

    void run()
    {
        error_code ec;
        stream_.socket().set_option(tcp::no_delay(true), ec);
        wait_for_request();
    }

    //! Tells the peer that the connection is over the limit, and closes.
    void refuse()
    {
        ++server_->in_progress;
        reject(http_status::unavailable, "too_many_connections",
               "the connection limit is reached; nothing was run");
    }

private:
    // The idle timeout runs until the first byte, the read timeout from it.
    void wait_for_request()
    {
        if (buffer_.size() > 0)
            return read();
        stream_.expires_after(server_->options.idle_timeout);
        stream_.async_read_some(
            buffer_.prepare(server_->options.header_bytes),
            [self = this->shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->close();
                self->buffer_.commit(n);
                self->read();
            });
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(server_->options.header_bytes);
        parser_->body_limit(server_->options.body_bytes);
        stream_.expires_after(server_->options.read_timeout);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            { self->on_read(ec); });
    }

    void on_read(error_code ec)
    {
        ++server_->in_progress;
        if (ec == http::error::body_limit)
            return reject(http_status::payload_too_large, "too_large",
                          "the body is over the limit");
        if (ec == http::error::header_limit)
            return reject(http_status::bad_request, "too_large",
                          "the header is over the limit");
        if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
            ec == http::error::partial_message ||
            ec == net::error::connection_reset)
        {
            --server_->in_progress;
            return close();
        }
        if (ec)
            return reject(http_status::bad_request, "malformed",
                          "not an HTTP request: " + ec.message());
        stream_.expires_never();
        if (websocket::is_upgrade(parser_->get()))
            return upgrade();
        serve();
    }

    void serve()
    {
        keep_alive_ = parser_->get().keep_alive();
        const auto request =
            to_request(parser_->release(), server_->options.kept_headers);
        if (!admitted(request))
            return respond(error_response(http_status::unauthorized,
                                          "unauthorized",
                                          "a valid bearer token is needed"));
        server_->handler(request,
                         [self = this->shared_from_this()](http_response answer)
                         {
                             net::post(self->stream_.get_executor(),
                                       [self, it = std::move(answer)]() mutable
                                       { self->respond(std::move(it)); });
                         });
    }

    bool admitted(const http_request& request) const noexcept
    {
        const auto& expected = server_->options.bearer;
        return expected.empty() || same_token(expected, request.bearer);
    }

    void upgrade()
    {
        const auto& path = server_->options.link_path;
        if (path.empty() || parser_->get().target() != path)
            return reject(http_status::not_found, "not_found",
                          "no link is served here");
        const message_link_options options;
        socket_.emplace(std::move(stream_));
        websocket_link::prepare(*socket_, options);
        --server_->in_progress;
        socket_->async_accept(
            parser_->get(),
            [self = this->shared_from_this(), options](error_code ec)
            {
                if (ec)
                    return;
                self->server_->on_link(std::make_shared<websocket_link>(
                    std::move(*self->socket_), options));
            });
    }

    void reject(http_status status, std::string_view code,
                std::string_view detail)
    {
        keep_alive_ = false;
        respond(error_response(status, code, detail));
    }

    void respond(http_response answer)
    {
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(answer.status));
        response_.set(http::field::content_type, answer.content_type);
        if (answer.retry_after_s)
            response_.set(http::field::retry_after,
                          std::to_string(*answer.retry_after_s));
        if (!answer.allow.empty())
            response_.set(http::field::allow, answer.allow);
        keep_alive_ = keep_alive_ && !server_->closing;
        response_.keep_alive(keep_alive_);
        response_.body() = std::move(answer.body);
        response_.prepare_payload();
        stream_.expires_after(server_->options.read_timeout);
        http::async_write(
            stream_, response_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                --self->server_->in_progress;
                if (ec)
                    return self->close();
                if (!self->keep_alive_)
                    return self->finish_sending();
                self->wait_for_request();
            });
    }

    // A socket that is closed with unread input is reset, and the peer may
    // lose the response: so the input is read to its end, up to the timeout.
    void finish_sending()
    {
        error_code ec;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
        buffer_.consume(buffer_.size());
        discard();
    }

    void discard()
    {
        stream_.async_read_some(
            buffer_.prepare(server_->options.header_bytes),
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                if (ec)
                    return self->close();
                self->discard();
            });
    }

    void close()
    {
        error_code ec;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<State> server_;
    std::shared_ptr<connection_place> place_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::optional<websocket_link::stream> socket_;
    bool keep_alive_ = false;
};

// The connection limit leaves as many places again for refusals on their way.
template <typename State>
void begin_session(const std::shared_ptr<State>& server,
                   const std::shared_ptr<std::atomic<std::size_t>>& count,
                   tcp::socket socket)
{
    const auto limit = server->options.connections;
    const std::size_t open = *count;
    if (open >= 2 * limit)
        return;
    const auto session = std::make_shared<http_session<State>>(
        std::move(socket), server, std::make_shared<connection_place>(count));
    if (open < limit)
        return session->run();
    session->refuse();
}

template <typename State>
void accept_next(const std::shared_ptr<State>& server,
                 std::shared_ptr<std::atomic<std::size_t>> count)
{
    server->acceptor.async_accept(
        net::make_strand(server->context),
        [server, count](error_code ec, tcp::socket socket)
        {
            if (ec == net::error::operation_aborted ||
                !server->acceptor.is_open())
                return;
            if (!ec)
                begin_session(server, count, std::move(socket));
            accept_next(server, count);
        });
}

} // namespace

connection_result<http_server> http_server::listen(net::io_context& io,
                                                   http_server_options options,
                                                   http_handler handler,
                                                   link_handler on_link)
{
    const auto where = options.listen;
    error_code ec;
    const auto ip = net::ip::make_address(where.address, ec);
    if (ec)
        return fail(connection_errc::bad_address,
                    to_text(where) + ": " + ec.message());
    const auto shared = std::make_shared<state>(
        io, std::move(options), std::move(handler), std::move(on_link));
    const tcp::endpoint target(ip, where.port);
    auto& acceptor = shared->acceptor;
    acceptor.open(target.protocol(), ec);
    if (!ec)
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(target, ec);
    if (!ec)
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(connection_errc::unreachable,
                    to_text(where) + ": " + ec.message());
    shared->port = acceptor.local_endpoint().port();
    accept_next(shared, shared->open);
    return http_server(shared);
}

http_server::http_server(std::shared_ptr<state> shared) noexcept
    : state_(std::move(shared))
{
}

http_server::http_server(http_server&&) noexcept = default;
http_server& http_server::operator=(http_server&&) noexcept = default;

http_server::~http_server()
{
    if (state_)
        stop_accepting();
}

std::uint16_t http_server::port() const noexcept
{
    return state_->port;
}

void http_server::stop_accepting()
{
    net::post(state_->acceptor.get_executor(),
              [shared = state_]
              {
                  error_code ec;
                  shared->acceptor.close(ec);
              });
}

void http_server::close_after_responses() noexcept
{
    state_->closing = true;
}

std::size_t http_server::open_connections() const noexcept
{
    return *state_->open;
}

std::size_t http_server::requests_in_progress() const noexcept
{
    return state_->in_progress;
}

} // namespace lagoonquay
