#include "lagoonquay/connection/http_client.hpp"

#include "beast_common.hpp"
#include "deadlines.hpp"
#include "lagoonquay/connection/traffic_meter.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace lagoonquay
{

namespace
{

//! A connection that waits for its next request.
struct idle_connection
{
    std::unique_ptr<beast::tcp_stream> stream;
    instant since{};
};

http::verb verb_of(http_method method) noexcept
{
    switch (method)
    {
    case http_method::get:
        return http::verb::get;
    case http_method::put:
        return http::verb::put;
    case http_method::remove:
        return http::verb::delete_;
    default:
        return http::verb::post;
    }
}

} // namespace

struct http_client::state
{
    state(net::io_context& io, http_client_options o)
        : context(io), options(o), limits(std::make_shared<deadlines>(io))
    {
    }

    //! @return a connection that was used recently, or a new one.
    idle_connection take(const endpoint& target)
    {
        const std::lock_guard lock(mutex);
        auto& waiting = idle[target];
        while (!waiting.empty())
        {
            auto last = std::move(waiting.back());
            waiting.pop_back();
            if (steady_now() - last.since > options.idle_reuse)
                continue;
            return last;
        }
        return {std::make_unique<beast::tcp_stream>(net::make_strand(context)),
                instant()};
    }

    void give_back(const endpoint& target,
                   std::unique_ptr<beast::tcp_stream> stream)
    {
        const std::lock_guard lock(mutex);
        auto& waiting = idle[target];
        if (waiting.size() >= options.idle_per_endpoint)
            waiting.pop_front();
        waiting.push_back({std::move(stream), steady_now()});
    }

    net::io_context& context;
    const http_client_options options;
    const std::shared_ptr<deadlines> limits;
    std::mutex mutex;
    std::map<endpoint, std::deque<idle_connection>> idle;
    const std::shared_ptr<traffic_meter> traffic =
        std::make_shared<traffic_meter>();
};

namespace
{

//! One request; keeps itself alive until it calls back.
template <typename State>
class http_exchange : public std::enable_shared_from_this<http_exchange<State>>
{
public:
    http_exchange(std::shared_ptr<State> client, endpoint target,
                  const http_request& request, duration timeout,
                  http_callback done)
        : client_(std::move(client)), target_(std::move(target)),
          path_(request.path), timeout_(timeout), done_(std::move(done))
    {
        const auto path = request.query.empty()
                              ? request.path
                              : request.path + "?" + request.query;
        request_ = {verb_of(request.method), path, 11};
        request_.set(http::field::host, to_text(target_));
        request_.keep_alive(true);
        if (!request.bearer.empty())
            request_.set(http::field::authorization,
                         "Bearer " + request.bearer);
        for (const auto& it : request.headers)
            request_.set(it.name, it.value);
        if (!request.body.empty())
            request_.set(http::field::content_type, "application/json");
        request_.body() = request.body;
        request_.prepare_payload();
    }

    void run()
    {
        auto connection = client_->take(target_);
        stream_ = std::move(connection.stream);
        stream_->expires_never();
        executor_ = stream_->get_executor();
        net::dispatch(executor_,
                      [self = this->shared_from_this()] { self->begin(); });
    }

private:
    void begin()
    {
        start_limit();
        if (stream_->socket().is_open())
            return write();
        error_code ec;
        const auto ip = net::ip::make_address(target_.address, ec);
        if (ec)
            return fail_with(connection_errc::bad_address, ec);
        stream_->async_connect(
            tcp::endpoint(ip, target_.port),
            [self = this->shared_from_this()](error_code code)
            {
                if (code == net::error::connection_refused)
                    return self->fail_with(connection_errc::refused, code);
                if (code)
                    return self->fail_with(connection_errc::unreachable, code);
                error_code ignored;
                self->stream_->socket().set_option(tcp::no_delay(true),
                                                   ignored);
                self->write();
            });
    }

    // The timers of Beast's stream are set for each step anew.
    void start_limit()
    {
        limit_ = client_->limits->add(timeout_,
                                      [weak = this->weak_from_this()]
                                      {
                                          const auto self = weak.lock();
                                          if (!self)
                                              return;
                                          net::post(self->executor_, [self]
                                                    { self->time_out(); });
                                      });
    }

    void time_out()
    {
        if (!stream_)
            return;
        timed_out_ = true;
        stream_->close();
    }

    void write()
    {
        http::async_write(
            *stream_, request_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                if (ec)
                    return self->fail_with(connection_errc::broken, ec);
                self->read();
            });
    }

    void read()
    {
        parser_.body_limit(client_->options.response_bytes);
        http::async_read(
            *stream_, buffer_, parser_,
            [self = this->shared_from_this()](error_code ec, std::size_t n)
            {
                self->received_ = n;
                self->on_read(ec);
            });
    }

    void on_read(error_code ec)
    {
        if (ec == http::error::body_limit)
            return fail_with(connection_errc::too_large, ec);
        if (ec)
            return fail_with(connection_errc::broken, ec);
        auto raw = parser_.release();
        http_response response;
        response.status = static_cast<http_status>(raw.result_int());
        const auto type = raw[http::field::content_type];
        response.content_type.assign(type.data(), type.size());
        response.body = std::move(raw.body());
        received_ = response.body.size();
        count(0);
        client_->limits->remove(limit_);
        auto stream = std::move(stream_);
        if (raw.keep_alive())
            client_->give_back(target_, std::move(stream));
        done_(std::move(response));
    }

    void fail_with(connection_errc code, error_code ec)
    {
        const bool sent = !nothing_sent(code);
        client_->limits->remove(limit_);
        count(1);
        done_(fail(timed_out_ && sent ? connection_errc::timeout : code,
                   to_text(target_) + ": " + ec.message()));
    }

    void count(std::uint64_t unanswered)
    {
        const auto took = steady_now() - began_;
        client_->traffic->add({.path = path_,
                               .exchanges = 1,
                               .unanswered = unanswered,
                               .bytes_sent = request_.body().size(),
                               .bytes_received = received_,
                               .total = took,
                               .longest = took});
    }

    std::shared_ptr<State> client_;
    endpoint target_;
    const std::string path_;
    const instant began_ = steady_now();
    duration timeout_;
    http_callback done_;
    deadlines::handle limit_;
    bool timed_out_ = false;
    std::size_t received_ = 0; //!< bytes, also of a response that was cut off
    std::unique_ptr<beast::tcp_stream> stream_;
    net::any_io_executor executor_;
    http::request<http::string_body> request_;
    http::response_parser<http::string_body> parser_;
    beast::flat_buffer buffer_;
};

} // namespace

http_client::http_client(net::io_context& io, http_client_options options)
    : state_(std::make_shared<state>(io, options))
{
}

http_client::~http_client() = default;

http_send_hook http_client::send_hook()
{
    return [this](const endpoint& target, const http_request& request,
                  duration timeout, http_callback done)
    {
        send(target, request, timeout, std::move(done));
    };
}

const std::shared_ptr<traffic_meter>& http_client::traffic() const noexcept
{
    return state_->traffic;
}

void http_client::send(const endpoint& target, const http_request& request,
                       duration timeout, http_callback done)
{
    const auto exchange = std::make_shared<http_exchange<state>>(
        state_, target, request, timeout, std::move(done));
    exchange->run();
}

} // namespace lagoonquay
