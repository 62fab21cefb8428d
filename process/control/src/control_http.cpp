#include "lagoonquay/process/control_http.hpp"

#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/process/operator_codec.hpp"
#include "lagoonquay/process/operator_http.hpp"
#include "lagoonquay/version/fleet_settings.hpp"
#include "lagoonquay/version/replica_codec.hpp"
#include "lagoonquay/version/version_codec.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "control";

http_response malformed(const std::string& detail)
{
    return error_response(http_status::bad_request, "malformed", detail);
}

http_response heartbeat_response(control_service& service,
                                 const std::string& body)
{
    const auto asked = decode_permit_request(body);
    if (!asked)
    {
        write_log(log_level::warning, part,
                  "Heartbeat not readable: " + asked.error().detail + ".");
        return malformed(asked.error().detail);
    }
    return {.body = encode_permit_reply(service.on_heartbeat(asked.value()))};
}

http_response messages_response(control_service& service,
                                const std::string& body)
{
    const auto batch = decode_batch(body);
    if (!batch)
        return malformed(batch.error().detail);
    service.replica().receive(batch.value());
    return {.body = "{}"};
}

http_response greeting_response(control_service& service,
                                const std::string& body)
{
    const auto other = decode_greeting(body);
    if (!other)
        return malformed(other.error().detail);
    const auto greeting = service.replica().on_greeting(other.value());
    return {.body = encode_greeting(greeting)};
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

version_result<void> check_change(const change& what)
{
    if (const auto* it = std::get_if<set_settings>(&what))
    {
        BOOST_OUTCOME_TRY(parse_fleet_settings(it->settings));
    }
    if (const auto* it = std::get_if<set_catalog>(&what))
        return check_catalog(it->catalog);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void run_command(control_service& service, const std::string& body,
                 bool may_forward, const http_responder& respond)
{
    const auto asked = decode_command(body);
    if (!asked)
        return respond(malformed(asked.error().detail));
    const auto checked = check_change(asked.value()->what);
    if (!checked)
        return respond(error_response(http_status::unprocessable,
                                      "bad_settings", checked.error().detail));
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

process_metrics metrics_of(control_service& service,
                           const latency_statistics& syncs)
{
    const auto view = service.view();
    const auto replica = service.replica().state();
    const auto& decisions = replica.decisions;
    process_metrics metrics;
    metrics.samples = {
        {"lagoonquay_fleet_version", "Version of the fleet's state.",
         metric_kind::gauge, view->version.number()},
        {"lagoonquay_domains_out", "Failure domains out of service.",
         metric_kind::gauge, view->out_domains.size()},
        {"lagoonquay_members", "Entries and agents heard of lately.",
         metric_kind::gauge, service.members().size()},
        {"lagoonquay_leads", "1 while this replica leads.", metric_kind::gauge,
         decisions.role == replica_role::leader ? 1U : 0U},
        {"lagoonquay_votes", "1 while this replica votes for permits.",
         metric_kind::gauge, replica.votes ? 1U : 0U},
        {"lagoonquay_term", "Term of the replicated log.", metric_kind::gauge,
         decisions.state.term.number()},
        {"lagoonquay_leader_changes_total",
         "Leaders found and lost by this replica.", metric_kind::counter,
         replica.leader_changes},
        {"lagoonquay_log_index", "Last entry that is committed.",
         metric_kind::gauge, decisions.commit.number()}};
    metrics.latencies = {{"lagoonquay_sync_seconds",
                          "Time of a write to the disk with its sync.",
                          syncs.summary()}};
    return metrics;
}

} // namespace

http_handler member_routes(control_service& service, std::string token)
{
    const auto on_body = [&service](http_response (*answer)(control_service&,
                                                            const std::string&))
    {
        return [&service, answer](const http_request& request, std::string_view,
                                  const http_responder& respond)
        {
            respond(answer(service, request.body));
        };
    };
    const auto passed_on = [&service, required = std::move(token)](
                               const http_request& request, std::string_view,
                               const http_responder& respond)
    {
        run_passed_on(service, required, request, respond);
    };
    const auto post = http_method::post;
    return route_requests(
        {{post, "/v1/heartbeat", on_body(heartbeat_response)},
         {post, "/v1/replica/messages", on_body(messages_response)},
         {post, "/v1/replica/greeting", on_body(greeting_response)},
         {post, "/v1/replica/commands", passed_on}});
}

http_handler control_operator_routes(control_service& service,
                                     const latency_statistics& syncs)
{
    auto routes =
        operator_routes({.dump = [&service] { return service.dump(); },
                         .metrics =
                             [&service, &syncs]
                         {
                             return metrics_of(service, syncs);
                         }});
    const auto run = [&service](const http_request& request, std::string_view,
                                const http_responder& respond)
    {
        run_command(service, request.body, true, respond);
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
