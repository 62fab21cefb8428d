//! lagoonquay-control: one replica of the fleet's state.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/control_http.hpp"
#include "lagoonquay/process/control_replica.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/durable_log.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"
#include "lagoonquay/process/replica_transport.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";

// Enough for a hand-over and the answers that wait for it.
constexpr auto stop_patience = std::chrono::seconds(2);

node_id draw_node(const std::string& name)
{
    const auto number = draw_incarnation().number();
    return node_id(name + "." + std::to_string(number));
}

control_replica_options replica_options_of(const control_settings& settings)
{
    control_replica_options options;
    options.name = replica_id(settings.process.id);
    options.address = to_text(settings.members);
    options.may_bootstrap = settings.bootstrap;
    for (const auto& it : settings.process.control)
    {
        if (it != settings.members)
            options.peers.push_back(to_text(it));
    }
    return options;
}

std::uint32_t draw_below(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(draw_incarnation().number() % bound);
}

//! Owns what the replica's hooks use.
struct control_parts
{
    control_parts(const control_settings& settings, durable_log log)
        : io(settings.process.threads), client(io.context(), {}),
          transport(client, to_text(settings.members),
                    settings.process.operator_token),
          storage(std::move(log)),
          replica(replica_options_of(settings), hooks(), storage.node(),
                  storage.stored()),
          service({}, replica, steady_now)
    {
    }

    ~control_parts()
    {
        io.stop();
    }
    control_parts(const control_parts&) = delete;
    control_parts& operator=(const control_parts&) = delete;

    control_replica_hooks hooks()
    {
        control_replica_hooks given;
        given.now = steady_now;
        given.draw = draw_below;
        given.draw_cluster = []
        {
            return cluster_number(draw_incarnation().number());
        };
        given.store = [this](const std::vector<log_write>& writes)
        {
            return storage.write(writes);
        };
        given.send = [this](const std::string& to, const replica_message& it)
        {
            transport.send(to, it);
        };
        given.greet = [this](const std::string& to, const replica_greeting& it)
        {
            transport.greet(to, it,
                            [this](const replica_greeting& other)
                            { replica.on_greeting(other); });
        };
        given.forward = [this](const std::string& to, const command& asked,
                               const answer_hook& done)
        {
            transport.forward(to, asked, done);
        };
        return given;
    }

    io_threads io;
    http_client client;
    replica_transport transport;
    durable_log storage;
    control_replica replica;
    control_service service;
};

// Others go on without a pause when the leader hands over before it ends.
void stop(control_parts& parts)
{
    const auto end = steady_now() + stop_patience;
    parts.replica.hand_over();
    wait_until([&] { return !parts.replica.leads() || steady_now() >= end; });
}

process_result<void> run(const control_settings& settings)
{
    const auto opened = [&]
    {
        return draw_node(settings.process.id);
    };
    BOOST_OUTCOME_TRY(auto storage, durable_log::open(settings.data_folder,
                                                      opened, real_disk()));
    if (storage.cut_bytes() > 0)
        write_log(log_level::warning, part,
                  "Cut a torn tail of " + std::to_string(storage.cut_bytes()) +
                      " bytes.");
    control_parts parts(settings, std::move(storage));
    auto members = http_server::listen(
        parts.io.context(),
        listener_options(settings.process, settings.members),
        member_routes(parts.service, settings.process.operator_token));
    auto operators = http_server::listen(
        parts.io.context(), operator_listener_options(settings.process),
        control_operator_routes(parts.service));
    BOOST_OUTCOME_TRY(require_listening({&members, &operators}));
    parts.io.every(control_replica::tick_period,
                   [&parts] { parts.replica.tick(); });
    write_log(log_level::info, part, "Control replica started.");
    parts.io.wait_for_stop_signal();
    stop(parts);
    wait_until([&] { return operators.value().requests_in_progress() == 0; });
    write_log(log_level::info, part, "Stopped.");
    parts.io.stop();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<control_settings>(
        argc, argv,
        {.name = "lagoonquay-control",
         .summary = "Keeps one replica of the fleet's state.",
         .load = load_control_settings,
         .run = run});
}
