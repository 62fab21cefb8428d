#include "lagoonquay/process/control_http.hpp"

#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/version/version_codec.hpp"

namespace lagoonquay
{

namespace
{

http_response not_found()
{
    return error_response(http_status::not_found, "not_found", "no such path");
}

http_response heartbeat_response(control_service& service,
                                 const std::string& body)
{
    const auto asked = decode_permit_request(body);
    if (!asked)
        return error_response(http_status::bad_request, "malformed",
                              asked.error().detail);
    return {.body = encode_permit_reply(service.on_heartbeat(asked.value()))};
}

http_response outcome_response(const version_result<command_outcome>& outcome)
{
    if (!outcome)
        return error_response(http_status::unavailable, "not_committed",
                              outcome.error().detail);
    const bool accepted = outcome.value().accepted;
    return {.status = accepted ? http_status::ok : http_status::conflict,
            .body = encode_outcome(outcome.value())};
}

void run_command(control_service& service, const std::string& body,
                 const http_responder& respond)
{
    const auto asked = decode_command(body);
    if (!asked)
        return respond(error_response(http_status::bad_request, "malformed",
                                      asked.error().detail));
    service.propose(asked.value(),
                    [respond](const version_result<command_outcome>& outcome)
                    { respond(outcome_response(outcome)); });
}

} // namespace

http_handler member_routes(control_service& service)
{
    return
        [&service](const http_request& request, const http_responder& respond)
    {
        if (request.path == "/v1/heartbeat")
            return respond(heartbeat_response(service, request.body));
        respond(not_found());
    };
}

http_handler control_operator_routes(control_service& service)
{
    return
        [&service](const http_request& request, const http_responder& respond)
    {
        if (request.path == "/v1/state")
            return respond({.body = service.dump()});
        if (request.path == "/v1/commands" &&
            request.method == http_method::post)
            return run_command(service, request.body, respond);
        respond(not_found());
    };
}

} // namespace lagoonquay
