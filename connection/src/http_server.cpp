#include "lagoonquay/connection/http_server.hpp"

#include "http_session.hpp"

namespace lagoonquay
{

struct http_server::state : listener_state
{
    state(net::io_context& io, http_server_options o, http_handler h,
          link_handler l)
        : listener_state(io, std::move(o), std::move(h), std::move(l)),
          acceptor(net::make_strand(io)), context(io)
    {
    }

    tcp::acceptor acceptor;
    net::io_context& context;
    std::uint16_t port = 0;
    std::atomic<bool> accepts{true};
};

namespace
{

//! After an accept that failed for want of descriptors or memory.
constexpr duration accept_pause = std::chrono::milliseconds(100);

bool is_exhaustion(error_code ec) noexcept
{
    return ec == net::error::no_descriptors || ec == net::error::no_memory ||
           ec == net::error::no_buffer_space ||
           ec == boost::system::errc::too_many_files_open_in_system;
}

// At the limit of the listener or of the process a connection that waits for
// its peer gives way. Where none waits, the new one is refused; the limit
// leaves as many places again for refusals on their way, but the process's
// limit leaves none.
void begin_session(const std::shared_ptr<listener_state>& listener,
                   tcp::socket socket)
{
    const auto limit = listener->options.connections;
    auto& intake = *listener->options.intake;
    if (!intake.has_place() && !listener->close_longest_waiting() &&
        !intake.close_one_waiting())
        return;
    const bool room =
        listener->open < limit || listener->close_longest_waiting();
    if (!room && listener->open >= 2 * limit)
        return;
    const auto session =
        std::make_shared<http_session>(std::move(socket), listener);
    if (room)
        return session->run();
    session->refuse();
}

template <typename State>
void accept_next(const std::shared_ptr<State>& server);

template <typename State>
void accept_after_pause(const std::shared_ptr<State>& server)
{
    server->limits->add(accept_pause,
                        [weak = std::weak_ptr(server)]
                        {
                            const auto found = weak.lock();
                            if (!found)
                                return;
                            net::post(found->acceptor.get_executor(),
                                      [found] { accept_next(found); });
                        });
}

template <typename State>
void accept_next(const std::shared_ptr<State>& server)
{
    server->acceptor.async_accept(net::make_strand(server->context),
                                  [server](error_code ec, tcp::socket socket)
                                  {
                                      if (ec == net::error::operation_aborted ||
                                          !server->acceptor.is_open())
                                          return;
                                      if (is_exhaustion(ec))
                                          return accept_after_pause(server);
                                      accept_next(server);
                                      if (!ec)
                                          begin_session(server,
                                                        std::move(socket));
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
    if (!options.intake)
        options.intake = std::make_shared<intake_budget>();
    const auto shared = std::make_shared<state>(
        io, std::move(options), std::move(handler), std::move(on_link));
    shared->options.intake->add_closer(
        [weak = std::weak_ptr<listener_state>(shared)]
        {
            const auto listener = weak.lock();
            return listener && listener->close_longest_waiting();
        });
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
    accept_next(shared);
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
                  shared->accepts = false;
              });
}

void http_server::close_after_responses() noexcept
{
    state_->closing = true;
}

void http_server::close_idle()
{
    state_->ending = true;
    while (state_->idle.close_longest())
    {
    }
}

std::size_t http_server::open_connections() const noexcept
{
    return state_->open;
}

std::size_t http_server::requests_arriving() const
{
    return state_->arriving.size();
}

// A connection that passes from one state to the next is in none of them, for
// as long as a thread takes to come to it.
bool http_server::is_quiet() const
{
    return !state_->accepts && state_->sessions == 0;
}

std::size_t http_server::requests_in_progress() const noexcept
{
    return state_->in_progress;
}

} // namespace lagoonquay
