#include "lagoonquay/connection/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace lagoonquay
{

namespace
{

constexpr std::string_view blanks = " \t";

bool is_ip_number(const std::string& text) noexcept
{
    in6_addr buf{};
    return ::inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
           ::inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

std::string_view trimmed(std::string_view text) noexcept
{
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

std::string to_text(const endpoint& target)
{
    const bool v6 = target.address.find(':') != std::string::npos;
    const auto host = v6 ? "[" + target.address + "]" : target.address;
    return host + ":" + std::to_string(target.port);
}

connection_result<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return fail(connection_errc::bad_address,
                    "'" + std::string(text) + "' is not address:port");
    auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto* end = digits.data() + digits.size();
    const auto [last, ec] = std::from_chars(digits.data(), end, port);
    if (ec != std::errc() || last != end || digits.empty())
        return fail(connection_errc::bad_address,
                    "'" + std::string(digits) + "' is not a port");
    endpoint parsed{std::string(host), port};
    if (!is_ip_number(parsed.address))
        return fail(connection_errc::bad_address,
                    "'" + parsed.address + "' is not an IP number");
    return parsed;
}

connection_result<std::vector<endpoint>> parse_endpoints(std::string_view text)
{
    std::vector<endpoint> found;
    while (!text.empty())
    {
        const auto comma = text.find(',');
        const auto place = trimmed(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view()
                                               : text.substr(comma + 1);
        if (place.empty())
            continue;
        BOOST_OUTCOME_TRY(auto parsed, parse_endpoint(place));
        found.push_back(std::move(parsed));
    }
    return found;
}

} // namespace lagoonquay
