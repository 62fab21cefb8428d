// Answers to the requests of a connection, and the start of links.
#include "http_session.hpp"

#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::uint32_t overload_retry_after_s = 1;
//! In which an answer is taken where nobody stalls.
constexpr duration usual_answer_time = std::chrono::seconds(1);

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

http_request to_request(http::request<request_body>&& raw,
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
    request.body = raw.body().take();
    return request;
}

} // namespace

void http_session::refuse_request(error_code ec)
{
    release_request();
    if (aborted_for_memory_)
        return reject(http_status::unavailable, "overloaded",
                      "too many requests are arriving; nothing was run");
    if (timed_out_)
        return reject(http_status::request_timeout, "too_slow",
                      "the request did not arrive in time; nothing was run");
    if (ec == http::error::body_limit)
        return reject(http_status::payload_too_large, "too_large",
                      "the body is over the limit");
    if (ec == http::error::header_limit)
        return reject(http_status::bad_request, "too_large",
                      "the header is over the limit");
    if (ec == http::error::end_of_stream || ec == net::error::connection_reset)
    {
        --listener_->in_progress;
        return close();
    }
    reject(http_status::bad_request, "malformed",
           "not an HTTP request: " + ec.message());
}

//! Frees what has arrived of a request.
void http_session::release_request()
{
    parser_.reset();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    held_->hold(0);
}

void http_session::serve()
{
    keep_alive_ = parser_->get().keep_alive() &&
                  pipelined_ < listener_->options.pipelined_requests;
    const auto request =
        to_request(parser_->release(), listener_->options.kept_headers);
    parser_.reset();
    held_->hold(0);
    path_ = request.path;
    read_at_ = steady_now();
    if (!admitted(request))
        return respond(error_response(http_status::unauthorized, "unauthorized",
                                      "a valid bearer token is needed"));
    awaits_response_ = true;
    try
    {
        listener_->handler(request,
                           [self = shared_from_this()](http_response answer)
                           { self->post_response(std::move(answer)); });
    }
    catch (const std::exception& e)
    {
        fail_request(e.what());
    }
}

// Only the first response is sent.
void http_session::post_response(http_response answer)
{
    net::post(stream_.get_executor(),
              [self = shared_from_this(), it = std::move(answer)]() mutable
              {
                  if (std::exchange(self->awaits_response_, false))
                      self->respond(std::move(it));
              });
}

// The handler may have begun something, and may even have answered. Its later
// answers must not reach another request, so the connection ends.
void http_session::fail_request(std::string_view error)
{
    keep_alive_ = false;
    if (listener_->options.on_refused)
        listener_->options.on_refused(http_status::internal_error, error);
    post_response(error_response(http_status::internal_error, "internal",
                                 "an unexpected error; whether anything was "
                                 "run is unknown"));
}

bool http_session::admitted(const http_request& request) const noexcept
{
    const auto& expected = listener_->options.bearer;
    return expected.empty() || same_token(expected, request.bearer);
}

void http_session::upgrade()
{
    const auto& path = listener_->options.link_path;
    if (path.empty() || parser_->get().target() != path)
    {
        release_request();
        return reject(http_status::not_found, "not_found",
                      "no link is served here");
    }
    message_link_options options;
    options.place = place_;
    options.intake = listener_->options.intake;
    socket_.emplace(std::move(stream_));
    websocket_link::prepare(*socket_, options);
    --listener_->in_progress;
    socket_->async_accept(parser_->get(),
                          [self = shared_from_this(), options](error_code ec)
                          {
                              if (ec)
                                  return;
                              self->listener_->on_link(
                                  std::make_shared<websocket_link>(
                                      std::move(*self->socket_), options));
                          });
}

void http_session::reject(http_status status, std::string_view code,
                          std::string_view detail)
{
    keep_alive_ = false;
    if (listener_->options.on_refused)
        listener_->options.on_refused(status, detail);
    auto response = error_response(status, code, detail);
    if (status == http_status::unavailable)
        response.retry_after_s = overload_retry_after_s;
    respond(std::move(response));
}

void http_session::close_unsent()
{
    if (listener_->options.on_unsent && !path_.empty())
        listener_->options.on_unsent(path_, steady_now() - read_at_);
    close();
}

void http_session::respond(http_response answer)
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
    keep_alive_ = keep_alive_ && !listener_->closing;
    response_.keep_alive(keep_alive_);
    answer_ = std::move(answer);
    const auto& text =
        answer_.shared_body ? *answer_.shared_body : answer_.body;
    response_.body() = {text.data(), text.size()};
    response_.prepare_payload();
    writing_ = true;
    if (held_)
    {
        ++exchanges_;
        held_->begin(usual_answer_time);
        held_->hold(answer_.body.size());
    }
    start_limit(listener_->options.read_timeout,
                [](http_session& it) { it.stream_.close(); });
    http::async_write(stream_, response_,
                      [self = shared_from_this()](error_code ec, std::size_t)
                      {
                          --self->listener_->in_progress;
                          self->writing_ = false;
                          self->response_ = {};
                          self->answer_ = {};
                          if (ec)
                              return self->close_unsent();
                          if (!self->keep_alive_)
                              return self->finish_sending();
                          self->wait_for_request();
                      });
}

} // namespace lagoonquay
