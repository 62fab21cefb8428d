//! HTTP requests and responses as values.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

enum class http_method
{
    get,
    post,
    put,
    remove, //!< DELETE
    other,
};

//! A header that the programs read or write by name.
struct http_header
{
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

struct http_request
{
    http_method method = http_method::get;
    std::string path;  //!< without the query
    std::string query; //!< after the question mark
    std::string body;
    std::string bearer;    //!< token of the Authorization header, if any
    std::string host = {}; //!< as received; a client sends its target's
    //! Sent as they are. Of a received request, those that the listener keeps.
    std::vector<http_header> headers = {};

    friend bool operator==(const http_request&, const http_request&) = default;
};

//! Status codes that the programs use.
enum class http_status : unsigned
{
    ok = 200,
    accepted = 202,
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    conflict = 409,
    gone = 410,
    payload_too_large = 413,
    unprocessable = 422,
    too_many_requests = 429,
    internal_error = 500,
    bad_gateway = 502,
    unavailable = 503,
    gateway_timeout = 504,
};

struct http_response
{
    http_status status = http_status::ok;
    std::string body;
    //! Sent in place of `body`, if set: a large text that many may ask for.
    std::shared_ptr<const std::string> shared_body = nullptr;
    std::string content_type = "application/json";
    //! Seconds after which a caller may try again (Retry-After).
    std::optional<std::uint32_t> retry_after_s;
    std::string allow; //!< methods that the path takes (Allow)

    friend bool operator==(const http_response&,
                           const http_response&) = default;
};

//! Sends the response. Call once, from any thread.
using http_responder = std::function<void(http_response)>;

//! Serves one request. Called from any I/O thread.
using http_handler = std::function<void(const http_request&, http_responder)>;

//! @return the value of a header, without regard to case, or an empty string.
std::string_view header_value(const http_request& request,
                              std::string_view name) noexcept;

//! @return the value of `key` in a query, or an empty string.
std::string query_value(std::string_view query, std::string_view key);

//! @return whether two bearer tokens are equal, in constant time.
bool same_token(std::string_view left, std::string_view right) noexcept;

//! @return a response with a JSON body {"error": code, "detail": detail}.
http_response error_response(http_status status, std::string_view code,
                             std::string_view detail);

} // namespace lagoonquay
