#include "lagoonquay/process/control_http.hpp"

#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/operator_codec.hpp"
#include "lagoonquay/process/operator_http.hpp"
#include "lagoonquay/version/fleet_settings.hpp"
#include "lagoonquay/version/version_codec.hpp"

namespace lagoonquay
{

namespace
{

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
    const auto* settings = std::get_if<set_settings>(&asked.value()->what);
    if (settings != nullptr)
    {
        const auto checked = parse_fleet_settings(settings->settings);
        if (!checked)
            return respond(error_response(http_status::unprocessable,
                                          "bad_settings",
                                          checked.error().detail));
    }
    service.propose(asked.value(),
                    [respond](const version_result<command_outcome>& outcome)
                    { respond(outcome_response(outcome)); });
}

process_metrics metrics_of(control_service& service)
{
    const auto view = service.view();
    process_metrics metrics;
    metrics.samples = {
        {"lagoonquay_fleet_version", "Version of the fleet's state.",
         metric_kind::gauge, view->version.number()},
        {"lagoonquay_domains_out", "Failure domains out of service.",
         metric_kind::gauge, view->out_domains.size()},
        {"lagoonquay_members", "Entries and agents heard of lately.",
         metric_kind::gauge, service.members().size()}};
    return metrics;
}

} // namespace

http_handler member_routes(control_service& service)
{
    const auto heartbeat = [&service](const http_request& request,
                                      std::string_view,
                                      const http_responder& respond)
    {
        respond(heartbeat_response(service, request.body));
    };
    return route_requests({{http_method::post, "/v1/heartbeat", heartbeat}});
}

http_handler control_operator_routes(control_service& service)
{
    auto routes =
        operator_routes({.dump = [&service] { return service.dump(); },
                         .metrics =
                             [&service]
                         {
                             return metrics_of(service);
                         }});
    const auto run = [&service](const http_request& request, std::string_view,
                                const http_responder& respond)
    {
        run_command(service, request.body, respond);
    };
    const auto view = [&service]() -> http_response
    {
        return {.body = encode_replica_view(service.view())};
    };
    routes.push_back({http_method::post, "/v1/commands", run});
    routes.push_back({http_method::get, "/v1/view", answer_with(view)});
    return route_requests(std::move(routes));
}

} // namespace lagoonquay
