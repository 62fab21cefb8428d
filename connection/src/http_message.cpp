#include "lagoonquay/connection/http_message.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>

namespace lagoonquay
{

namespace
{

char lower(char letter) noexcept
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

bool same_name(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

} // namespace

std::string_view header_value(const http_request& request,
                              std::string_view name) noexcept
{
    for (const auto& it : request.headers)
    {
        if (same_name(it.name, name))
            return it.value;
    }
    return {};
}

std::string query_value(std::string_view query, std::string_view key)
{
    while (!query.empty())
    {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view()
                                              : query.substr(end + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != key)
            continue;
        if (equals == std::string_view::npos)
            return {};
        return std::string(pair.substr(equals + 1));
    }
    return {};
}

// Compares without an early exit, so that timing tells nothing.
bool same_token(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t n = 0; n < left.size(); ++n)
        difference |= static_cast<unsigned>(left[n] ^ right[n]);
    return difference == 0;
}

http_response error_response(http_status status, std::string_view code,
                             std::string_view detail)
{
    const boost::json::object body{{"error", code}, {"detail", detail}};
    return {.status = status, .body = boost::json::serialize(body)};
}

} // namespace lagoonquay
