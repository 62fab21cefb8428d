#include "lagoonquay/process/agent_node.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_http.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/operator_http.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/program.hpp"

#include <optional>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
constexpr duration grant_period = std::chrono::milliseconds(100);
constexpr duration overdue_check_period = std::chrono::milliseconds(10);

//! Wraps `call` to record the duration of each call of the upstream.
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

agent_options service_options(const agent_settings& settings,
                              const agent_node_options& node)
{
    agent_options options;
    options.id = agent_id(settings.process.id);
    options.run = draw_incarnation();
    options.domain = settings.process.domain;
    options.address = to_text(settings.entries);
    options.upstream_silence = settings.upstream_silence;
    options.record_retention = settings.record_retention;
    options.permits = node.permits;
    options.earlier_runs_timeout = node.earlier_runs_timeout;
    options.late_run_time = node.late_run_time;
    return with_stop_time(std::move(options), node.stop_time);
}

} // namespace

struct agent_node::parts
{
    parts(const agent_settings& given, const agent_node_options& node,
          io_threads& threads)
        : settings(given), options(node), io(threads), client(io.context(), {}),
          service(service_options(given, node),
                  {.now = steady_now,
                   .call_upstream = timed(node.call_upstream, calls),
                   .stop_upstream_task = node.stop_upstream_task}),
          permits(client, {.replicas = given.process.control}, permit_hooks())
    {
    }

    permit_client_hooks permit_hooks()
    {
        return {.now = steady_now,
                .self = [this] { return service.self(); },
                .known = [this] { return service.view(); },
                .set_permit = [this](const permit& it)
                { service.set_permit(it); },
                .heard = {},
                .learn = {}};
    }

    const agent_settings settings;
    const agent_node_options options;
    io_threads& io;
    http_client client;
    latency_statistics calls;
    agent_service service;
    permit_client permits;
    std::optional<http_server> entry_listener;
    std::optional<http_server> operator_listener;
};

agent_node::agent_node(const agent_settings& settings,
                       const agent_node_options& options, io_threads& io)
    : parts_(std::make_unique<parts>(settings, options, io))
{
}

agent_node::~agent_node()
{
    parts_->io.stop();
}

agent_service& agent_node::service() noexcept
{
    return parts_->service;
}

process_result<void> agent_node::start()
{
    auto& node = *parts_;
    const auto& process = node.settings.process;
    auto link_options = listener_options(process, node.settings.entries);
    link_options.link_path = "/v1/link";
    auto entries =
        http_server::listen(node.io.context(), std::move(link_options),
                            route_requests({health_route()}),
                            [&node](const std::shared_ptr<message_link>& link)
                            { node.service.on_link(link); });
    auto operators = http_server::listen(
        node.io.context(), operator_listener_options(process),
        agent_operator_routes(node.service, node.calls));
    BOOST_OUTCOME_TRY(require_listening({&entries, &operators}));
    node.entry_listener.emplace(std::move(entries).value());
    node.operator_listener.emplace(std::move(operators).value());
    node.permits.tick();
    node.io.every(permit_client::tick_period, [&node] { node.permits.tick(); });
    node.io.every(grant_period, [&node] { node.service.tick(); });
    // Entries that recover their ledger wait for the grant that reports the end
    // of these runs.
    if (node.options.earlier_runs_timeout > duration::zero())
        node.io.after(node.options.earlier_runs_timeout,
                      [&node] { node.service.tick(); });
    node.io.every(overdue_check_period,
                  [&node] { node.service.return_overdue_tasks(); });
    write_log(log_level::info, part, "Agent started.");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void agent_node::reload(const agent_settings& settings)
{
    write_log(log_level::info, part, "Settings reloaded.");
    parts_->permits.set_replicas(settings.process.control);
}

void agent_node::drain()
{
    write_log(log_level::info, part, "Stopping: no new tasks.");
    parts_->service.drain();
    wait_until([&] { return parts_->service.drained(); });
    write_log(log_level::info, part, "Stopped.");
}

} // namespace lagoonquay
