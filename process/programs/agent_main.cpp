//! lagoonquay-agent: guards the starts of one upstream.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_http.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/operator_http.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
constexpr duration heartbeat_period = std::chrono::milliseconds(500);
constexpr duration grant_period = std::chrono::milliseconds(200);

//! Counts how long the calls of the upstream take.
upstream_hook timed(upstream_hook call, latency_statistics& calls)
{
    return [call = std::move(call), &calls](const upstream_call& asked,
                                            upstream_callback done)
    {
        const auto began = steady_now();
        call(asked,
             [&calls, began, done = std::move(done)](const task_result& result)
             {
                 calls.add(steady_now() - began);
                 done(result);
             });
    };
}

agent_options to_options(const agent_settings& settings)
{
    agent_options options;
    options.id = agent_id(settings.process.id);
    options.run = draw_incarnation();
    options.domain = settings.process.domain;
    options.address = to_text(settings.entries);
    options.upstream_silence = settings.upstream_silence;
    options.record_retention = settings.record_retention;
    return options;
}

permit_client_hooks permit_hooks(agent_service& service)
{
    return {.now = steady_now,
            .self = [&service] { return service.self(); },
            .known = [&service] { return service.view(); },
            .hold = [&service](const permit& it) { service.hold(it); },
            .learn = {}};
}

//! Stops the agent once every started task has its result written.
void drain(agent_service& service)
{
    write_log(log_level::info, part, "Stopping: no new tasks.");
    service.drain();
    wait_until([&] { return service.drained(); });
    write_log(log_level::info, part, "Stopped.");
}

process_result<void> run(const agent_settings& settings)
{
    io_threads io(settings.process.threads);
    http_client client(io.context(), {});
    http_client upstream_client(io.context(),
                                {.response_bytes = settings.answer_bytes});
    latency_statistics calls;
    agent_service service(
        to_options(settings),
        {.now = steady_now,
         .call_upstream = timed(call_over_http(upstream_client), calls)});
    permit_client permits(client, {.replicas = settings.process.control},
                          permit_hooks(service));

    auto link_options = listener_options(settings.process, settings.entries);
    link_options.link_path = "/v1/link";
    auto entries = http_server::listen(
        io.context(), std::move(link_options), route_requests({health_route()}),
        [&](const std::shared_ptr<message_link>& it) { service.on_link(it); });
    auto upstream = http_server::listen(
        io.context(), listener_options(settings.process, settings.upstream),
        upstream_routes(service));
    auto operators = http_server::listen(
        io.context(), operator_listener_options(settings.process),
        agent_operator_routes(service, calls));
    BOOST_OUTCOME_TRY(require_listening({&entries, &upstream, &operators}));
    permits.tick();
    io.every(heartbeat_period, [&] { permits.tick(); });
    io.every(grant_period, [&] { service.tick(); });
    write_log(log_level::info, part, "Agent started.");
    io.wait_for_stop_signal();
    drain(service);
    io.stop();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<agent_settings>(
        argc, argv,
        {.name = "lagoonquay-agent",
         .summary = "Guards the starts of an upstream.",
         .load = load_agent_settings,
         .run = run});
}
