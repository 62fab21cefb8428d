#include "websocket_link.hpp"

namespace lagoonquay
{

namespace
{

//! One attempt to open a link; keeps itself alive until it calls back.
class link_opening : public std::enable_shared_from_this<link_opening>
{
public:
    link_opening(net::io_context& io, endpoint target, std::string path,
                 message_link_options options, link_callback done)
        : stream_(net::make_strand(io)), target_(std::move(target)),
          path_(std::move(path)), options_(std::move(options)),
          done_(std::move(done))
    {
    }

    void run()
    {
        error_code ec;
        const auto ip = net::ip::make_address(target_.address, ec);
        if (ec)
            return fail_with(connection_errc::bad_address, ec);
        auto& lowest = beast::get_lowest_layer(stream_);
        lowest.expires_after(options_.silence);
        lowest.async_connect(tcp::endpoint(ip, target_.port),
                             [self = shared_from_this()](error_code code)
                             { self->on_connect(code); });
    }

private:
    void on_connect(error_code ec)
    {
        if (ec)
            return fail_with(connection_errc::unreachable, ec);
        beast::get_lowest_layer(stream_).socket().set_option(
            tcp::no_delay(true), ec);
        websocket_link::prepare(stream_, options_);
        stream_.async_handshake(to_text(target_), path_,
                                [self = shared_from_this()](error_code code)
                                { self->on_handshake(code); });
    }

    void on_handshake(error_code ec)
    {
        if (ec)
            return fail_with(connection_errc::unreachable, ec);
        done_(std::make_shared<websocket_link>(std::move(stream_), options_));
    }

    void fail_with(connection_errc code, error_code ec)
    {
        done_(fail(code, to_text(target_) + ": " + ec.message()));
    }

    websocket_link::stream stream_;
    endpoint target_;
    std::string path_;
    message_link_options options_;
    link_callback done_;
};

} // namespace

void open_link(net::io_context& io, const endpoint& target,
               const std::string& path, message_link_options options,
               link_callback done)
{
    const auto opening = std::make_shared<link_opening>(
        io, target, path, std::move(options), std::move(done));
    opening->run();
}

} // namespace lagoonquay
