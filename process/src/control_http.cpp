#include "lagoonquay/process/control_http.hpp"

#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/version/replica_codec.hpp"
#include "lagoonquay/version/version_codec.hpp"

namespace lagoonquay
{

namespace
{

http_response not_found()
{
    return error_response(http_status::not_found, "not_found", "no such path");
}

http_response malformed(const std::string& detail)
{
    return error_response(http_status::bad_request, "malformed", detail);
}

http_response heartbeat_response(control_service& service,
                                 const std::string& body)
{
    const auto asked = decode_permit_request(body);
    if (!asked)
        return malformed(asked.error().detail);
    const auto reply = service.on_heartbeat(asked.value());
    if (!reply)
        return error_response(http_status::unavailable, "not_voting",
                              reply.error().detail);
    return {.body = encode_permit_reply(reply.value())};
}

http_response messages_response(control_replica& replica,
                                const std::string& body)
{
    const auto batch = decode_batch(body);
    if (!batch)
        return malformed(batch.error().detail);
    replica.receive(batch.value());
    return {.body = "{}"};
}

http_response greeting_response(control_replica& replica,
                                const std::string& body)
{
    const auto other = decode_greeting(body);
    if (!other)
        return malformed(other.error().detail);
    return {.body = encode_greeting(replica.on_greeting(other.value()))};
}

// "not_committed" does not say that the command never will be.
http_response answer_response(const version_result<command_answer>& answer)
{
    if (!answer)
        return error_response(http_status::unavailable, "not_committed",
                              answer.error().detail);
    const bool accepted = answer.value().outcome.accepted;
    return {.status = accepted ? http_status::ok : http_status::conflict,
            .body = encode_command_answer(answer.value())};
}

void run_command(control_service& service, const std::string& body,
                 bool may_forward, const http_responder& respond)
{
    const auto asked = decode_command(body);
    if (!asked)
        return respond(malformed(asked.error().detail));
    service.propose(asked.value(), may_forward,
                    [respond](const version_result<command_answer>& answer)
                    { respond(answer_response(answer)); });
}

void run_passed_on(control_service& service, const std::string& token,
                   const http_request& request, const http_responder& respond)
{
    if (!token.empty() && !same_token(token, request.bearer))
        return respond(error_response(http_status::unauthorized, "unauthorized",
                                      "a valid bearer token is needed"));
    run_command(service, request.body, false, respond);
}

} // namespace

http_handler member_routes(control_service& service, std::string token)
{
    return [&service, required = std::move(token)](
               const http_request& request, const http_responder& respond)
    {
        if (request.path == "/v1/heartbeat")
            return respond(heartbeat_response(service, request.body));
        if (request.path == "/v1/replica/messages")
            return respond(messages_response(service.replica(), request.body));
        if (request.path == "/v1/replica/greeting")
            return respond(greeting_response(service.replica(), request.body));
        if (request.path == "/v1/replica/commands")
            return run_passed_on(service, required, request, respond);
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
            return run_command(service, request.body, true, respond);
        respond(not_found());
    };
}

} // namespace lagoonquay
