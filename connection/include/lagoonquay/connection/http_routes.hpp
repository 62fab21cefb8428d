//! Table of the paths that a listener serves.
#pragma once

#include "lagoonquay/connection/http_message.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Serves one request; `rest` is what follows the path of a route that ends
//! in a slash.
using route_handler = std::function<void(
    const http_request&, std::string_view rest, const http_responder&)>;

//! One path with one method. A path that ends in a slash also takes one more
//! segment, which must not be empty; any other path must match whole.
struct http_route
{
    http_method method = http_method::get;
    std::string path;
    route_handler handle;
};

//! @return a handler that answers 404 where no path matches, and 405 with the
//! methods allowed where only the method does not.
http_handler route_requests(std::vector<http_route> routes);

//! @return a route_handler that answers at once from `answer()`.
route_handler answer_with(std::function<http_response()> answer);

} // namespace lagoonquay
