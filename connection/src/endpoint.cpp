#include "lagoonquay/connection/endpoint.hpp"

#include <charconv>

namespace lagoonquay
{

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
    return endpoint{std::string(host), port};
}

} // namespace lagoonquay
