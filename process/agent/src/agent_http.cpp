#include "lagoonquay/process/agent_http.hpp"

#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/operator_http.hpp"

#include <iterator>

namespace lagoonquay
{

namespace
{

http_response take_announcement(agent_service& service, const std::string& body)
{
    const auto it = decode_announcement(body);
    if (!it)
        return error_response(http_status::bad_request, "malformed",
                              it.error().detail);
    service.announce(it.value());
    return {.body = "{}"};
}

process_metrics metrics_of(const agent_service& service,
                           const latency_statistics& calls)
{
    const auto n = service.counts();
    const auto counter = metric_kind::counter;
    const auto gauge = metric_kind::gauge;
    process_metrics metrics;
    metrics.samples = {
        {"lagoonquay_tasks_started_total", "Calls of the upstream.", counter,
         n.started},
        {"lagoonquay_tasks_finished_total", "Calls that ended.", counter,
         n.finished},
        {"lagoonquay_dispatches_declined_total",
         "Dispatches declined without a start.", counter, n.declined},
        {"lagoonquay_tasks_cancelled_total",
         "Tasks cancelled before their start.", counter, n.cancelled},
        {"lagoonquay_tasks_running", "Tasks that run now.", gauge,
         service.running()},
        {"lagoonquay_slots", "Slots of the upstream.", gauge,
         service.self()->slots},
        {"lagoonquay_fleet_version", "Version of the fleet's state in use.",
         gauge, service.view()->version.number()},
        permit_left_sample(service.permit_left()),
        silence_sample("control", service.time_since_control()),
        silence_sample("upstream", service.upstream_silence())};
    auto reasons = service.declines_by_reason().samples(
        "lagoonquay_declines_total", "Declined dispatches by reason.");
    std::move(reasons.begin(), reasons.end(),
              std::back_inserter(metrics.samples));
    metrics.latencies = {{"lagoonquay_upstream_seconds",
                          "Time of a call of the upstream.", calls.summary()}};
    return metrics;
}

} // namespace

http_handler upstream_routes(agent_service& service)
{
    const auto announce = [&service](const http_request& request,
                                     std::string_view,
                                     const http_responder& respond)
    {
        respond(take_announcement(service, request.body));
    };
    return route_requests({{http_method::post, "/v1/announce", announce}});
}

http_handler agent_operator_routes(agent_service& service,
                                   const latency_statistics& calls)
{
    return route_requests(
        operator_routes({.dump = [&service] { return service.dump(); },
                         .metrics =
                             [&service, &calls]
                         {
                             return metrics_of(service, calls);
                         }}));
}

} // namespace lagoonquay
