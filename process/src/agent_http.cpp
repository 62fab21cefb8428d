#include "lagoonquay/process/agent_http.hpp"

#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/process/agent_service.hpp"

namespace lagoonquay
{

http_handler upstream_routes(agent_service& service)
{
    return
        [&service](const http_request& request, const http_responder& respond)
    {
        if (request.path != "/v1/announce")
            return respond(error_response(http_status::not_found, "not_found",
                                          "no such path"));
        const auto it = decode_announcement(request.body);
        if (!it)
            return respond(error_response(http_status::bad_request, "malformed",
                                          it.error().detail));
        service.announce(it.value());
        respond({.body = "{}"});
    };
}

http_handler agent_operator_routes(agent_service& service)
{
    return
        [&service](const http_request& request, const http_responder& respond)
    {
        if (request.path == "/v1/state")
            return respond({.body = service.dump()});
        respond(error_response(http_status::not_found, "not_found",
                               "no such path"));
    };
}

} // namespace lagoonquay
