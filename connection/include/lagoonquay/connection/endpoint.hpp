//! Address of a listener.
#pragma once

#include "lagoonquay/connection/error.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! An IP number and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

//! @return "address:port", with brackets around an IPv6 number.
std::string to_text(const endpoint& target);

//! Reads "address:port"; the address must be an IP number.
//! @return the endpoint, or bad_address.
connection_result<endpoint> parse_endpoint(std::string_view text);

//! Reads endpoints with commas between them; empty places are left out.
//! @return the endpoints, or bad_address for the first that is none.
connection_result<std::vector<endpoint>> parse_endpoints(std::string_view text);

} // namespace lagoonquay
