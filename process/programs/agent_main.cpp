//! lagoonquay-agent: guards the starts of one upstream.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_http.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"

#include <thread>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
constexpr duration heartbeat_period = std::chrono::milliseconds(500);
constexpr duration grant_period = std::chrono::milliseconds(200);

agent_options to_options(const agent_settings& settings)
{
    agent_options options;
    options.id = agent_id(settings.process.id);
    options.run = draw_incarnation();
    options.domain = settings.process.domain;
    options.address = to_text(settings.entries);
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

//! Stops the agent once every started task has its result sent.
void drain(agent_service& service)
{
    write_log(log_level::info, part, "Stopping: no new tasks.");
    service.drain();
    wait_until([&] { return service.running() == 0; });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    write_log(log_level::info, part, "Stopped.");
}

process_result<void> run(const agent_settings& settings)
{
    io_threads io(settings.process.threads);
    http_client client(io.context(), {});
    agent_service service(
        to_options(settings),
        {.now = steady_now, .call_upstream = call_over_http(client)});
    permit_client permits(client, {.replicas = settings.process.control},
                          permit_hooks(service));

    auto entries = http_server::listen(
        io.context(), {.listen = settings.entries, .link_path = "/v1/link"},
        agent_operator_routes(service),
        [&](const std::shared_ptr<message_link>& it) { service.on_link(it); });
    auto upstream = http_server::listen(
        io.context(), {.listen = settings.upstream}, upstream_routes(service));
    auto operators =
        http_server::listen(io.context(),
                            {.listen = settings.process.operators,
                             .bearer = settings.process.operator_token},
                            agent_operator_routes(service));
    for (const auto* it : {&entries, &upstream, &operators})
    {
        if (!*it)
            return fail(process_errc::bad_listen, it->error().detail);
    }
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
    const auto parsed = parse_arguments(argc, argv, "lagoonquay-agent",
                                        "Guards the starts of an upstream.");
    if (!parsed.arguments)
        return static_cast<int>(parsed.code);
    const auto settings = load_agent_settings(parsed.arguments->config);
    if (!settings)
        return static_cast<int>(report(settings.error()));
    if (parsed.arguments->check_only)
        return 0;
    open_log(settings.value().process.log);
    const auto ended = run(settings.value());
    return ended ? 0 : static_cast<int>(report(ended.error()));
}
