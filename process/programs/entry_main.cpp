//! lagoonquay-entry: takes jobs from callers and answers them.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"

#include <memory>
#include <mutex>
#include <random>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
constexpr duration heartbeat_period = std::chrono::milliseconds(500);
constexpr duration link_period = std::chrono::milliseconds(100);
constexpr duration tick_period = std::chrono::milliseconds(50);

member describe(const entry_settings& settings, incarnation run)
{
    member_options it;
    it.role = member_role::entry;
    it.id = settings.process.id;
    it.run = run;
    it.domain = settings.process.domain;
    it.address = to_text(settings.peers);
    it.serving = true;
    return member(std::move(it));
}

void link_agent(entry_service& service, io_threads& io, const member& agent)
{
    const agent_id id(agent->id);
    const auto target = parse_endpoint(agent->address);
    if (!target)
        return;
    service.agents().begin_link(id);
    open_link(
        io.context(), target.value(), "/v1/link", {},
        [&service, id](connection_result<std::shared_ptr<message_link>> opened)
        {
            if (!opened)
                return service.agents().close(id);
            service.on_link(id, std::move(opened).value());
        });
}

void link_agents(entry_service& service, io_threads& io)
{
    for (const auto& it : service.agents().unlinked())
        link_agent(service, io, it);
}

entry_options to_options(const entry_settings& settings, incarnation run)
{
    entry_options options;
    options.id = entry_id(settings.process.id);
    options.run = run;
    options.domain = settings.process.domain;
    options.address = to_text(settings.peers);
    options.claim_lease = settings.claim_lease;
    options.claim_margin = settings.claim_margin;
    options.answer_retention = settings.answer_retention;
    options.oldest_submission = settings.oldest_submission;
    options.clock_skew = settings.clock_skew;
    options.probe_ledger = true;
    return options;
}

permit_client_hooks permit_hooks(entry_service& service,
                                 const entry_settings& settings,
                                 incarnation run)
{
    return {.now = steady_now,
            .self = [it = describe(settings, run)] { return it; },
            .known = [&service] { return service.view(); },
            .hold = [&service](const permit& it) { service.hold(it); },
            .learn =
                [&service](const std::vector<member>& it)
            {
                service.learn(it);
            }};
}

//! @return a source of numbers that several threads may use.
random_hook seeded_draw(std::uint64_t seed)
{
    struct source
    {
        std::mutex mutex;
        std::mt19937_64 engine;
    };
    const auto shared = std::make_shared<source>();
    shared->engine.seed(seed);
    return [shared](std::uint64_t bound)
    {
        const std::lock_guard lock(shared->mutex);
        return bound == 0 ? 0 : shared->engine() % bound;
    };
}

//! Stops the entry once every accepted job is answered and every response is
//! written.
void drain(entry_service& service, const http_server& callers,
           const http_server& peers)
{
    write_log(log_level::info, part, "Stopping: no new jobs.");
    service.drain();
    wait_until(
        [&]
        {
            return service.unanswered() == 0 &&
                   callers.requests_in_progress() == 0 &&
                   peers.requests_in_progress() == 0;
        });
    write_log(log_level::info, part, "Stopped.");
}

process_result<void> run(const entry_settings& settings)
{
    const auto run = draw_incarnation();
    io_threads io(settings.process.threads);
    http_client client(io.context(), {});
    ledger_replica ledger({.memory_since = wall_now(),
                           .clock_skew = settings.clock_skew,
                           .retention = settings.claim_retention,
                           .oldest_submission = settings.oldest_submission},
                          steady_now, wall_now);
    latency_statistics answers;
    entry_service service(
        to_options(settings, run),
        {.now = steady_now,
         .wall = wall_now,
         .claim = claim_over_http(client, ledger,
                                  {.peers = settings.ledger_peers}, steady_now),
         .forward = forward_over_http(client),
         .draw = seeded_draw(run.number())});
    permit_client permits(client, {.replicas = settings.process.control},
                          permit_hooks(service, settings, run));

    auto callers = http_server::listen(
        io.context(), listener_options(settings.process, settings.callers),
        caller_routes(service, settings.jobs, answers));
    auto peers = http_server::listen(
        io.context(), listener_options(settings.process, settings.peers),
        peer_routes(service, ledger, settings.jobs));
    auto operators = http_server::listen(
        io.context(), operator_listener_options(settings.process),
        entry_operator_routes(service, answers));
    BOOST_OUTCOME_TRY(require_listening({&callers, &peers, &operators}));
    permits.tick();
    io.every(heartbeat_period, [&] { permits.tick(); });
    io.every(link_period, [&] { link_agents(service, io); });
    io.every(tick_period, [&] { service.tick(); });
    io.every(std::chrono::seconds(1), [&] { ledger.expire(); });
    write_log(log_level::info, part, "Entry started.");
    io.wait_for_stop_signal();
    drain(service, callers.value(), peers.value());
    io.stop();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<entry_settings>(
        argc, argv,
        {.name = "lagoonquay-entry",
         .summary = "Takes jobs and answers them.",
         .load = load_entry_settings,
         .run = run});
}
