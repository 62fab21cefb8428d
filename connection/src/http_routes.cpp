#include "lagoonquay/connection/http_routes.hpp"

#include <optional>

namespace lagoonquay
{

namespace
{

std::string_view name_of(http_method method) noexcept
{
    switch (method)
    {
    case http_method::get:
        return "GET";
    case http_method::post:
        return "POST";
    case http_method::put:
        return "PUT";
    case http_method::remove:
        return "DELETE";
    case http_method::other:
        return "";
    }
    return "";
}

//! @return what follows the route's path, or nothing if it does not match.
std::optional<std::string_view> match(const http_route& route,
                                      std::string_view path)
{
    if (!route.path.ends_with('/'))
        return path == route.path ? std::optional(std::string_view())
                                  : std::nullopt;
    if (!path.starts_with(route.path))
        return std::nullopt;
    const auto rest = path.substr(route.path.size());
    if (rest.empty() || rest.find('/') != std::string_view::npos)
        return std::nullopt;
    return rest;
}

http_response not_allowed(const std::string& allow)
{
    auto response =
        error_response(http_status::method_not_allowed, "method_not_allowed",
                       "this path takes " + allow);
    response.allow = allow;
    return response;
}

} // namespace

http_handler route_requests(std::vector<http_route> routes)
{
    return [all = std::move(routes)](const http_request& request,
                                     const http_responder& respond)
    {
        std::string allow;
        for (const auto& it : all)
        {
            const auto rest = match(it, request.path);
            if (!rest)
                continue;
            if (it.method == request.method)
                return it.handle(request, *rest, respond);
            allow.append(allow.empty() ? "" : ", ").append(name_of(it.method));
        }
        if (!allow.empty())
            return respond(not_allowed(allow));
        respond(error_response(http_status::not_found, "not_found",
                               "no such path"));
    };
}

route_handler answer_with(std::function<http_response()> answer)
{
    return [it = std::move(answer)](const http_request&, std::string_view,
                                    const http_responder& respond)
    {
        respond(it());
    };
}

} // namespace lagoonquay
