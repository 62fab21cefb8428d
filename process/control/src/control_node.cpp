#include "lagoonquay/process/control_node.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/durable_log.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/load_report.hpp"
#include "lagoonquay/process/program.hpp"
#include "lagoonquay/process/replica_transport.hpp"

#include <algorithm>

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

std::uint32_t draw_below(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(draw_incarnation().number() % bound);
}

// Only the replicas of the settings may start a cluster; others join it.
control_replica_options replica_options_of(const control_settings& settings,
                                           const control_node_options& node)
{
    const auto& first = settings.process.control;
    const bool named =
        std::find(first.begin(), first.end(), settings.members) != first.end();
    control_replica_options options;
    options.name = replica_id(settings.process.id);
    options.address = to_text(settings.members);
    options.may_bootstrap = settings.bootstrap && named;
    options.voters = node.voters;
    options.replace_after = node.replace_after;
    options.leaderless_votes = node.leaderless_votes;
    for (const auto& it : first)
    {
        if (it != settings.members)
            options.peers.push_back(to_text(it));
    }
    return options;
}

} // namespace

struct control_node::parts
{
    parts(const control_settings& settings, const control_node_options& node,
          durable_log log, io_threads& threads)
        : io(threads), client(io.context(), {}),
          transport(client, to_text(settings.members),
                    settings.process.operator_token),
          storage(std::move(log)),
          replica(replica_options_of(settings, node), hooks(), storage.node(),
                  storage.stored()),
          service({.life = draw_incarnation()}, replica, steady_now),
          load(threads, *client.traffic())
    {
    }

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
            const auto began = steady_now();
            auto written = storage.write(writes);
            syncs.add(steady_now() - began);
            return written;
        };
        given.recover = [this]
        {
            return storage.recover();
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

    io_threads& io;
    http_client client;
    replica_transport transport;
    durable_log storage;
    latency_statistics syncs;
    control_replica replica;
    control_service service;
    load_report load;
};

process_result<std::unique_ptr<control_node>>
control_node::open(const control_settings& settings,
                   control_node_options options, io_threads& io)
{
    const auto draw = [&]
    {
        return draw_node(settings.process.id);
    };
    BOOST_OUTCOME_TRY(auto storage, durable_log::open(settings.data_folder,
                                                      draw, real_disk()));
    if (!storage.discarded().empty())
        write_log(log_level::error, part,
                  "Gave up the log, begins anew as " + storage.node().text() +
                      ": " + storage.discarded() + ".");
    if (storage.cut_bytes() > 0)
        write_log(log_level::warning, part,
                  "Cut a torn tail of " + std::to_string(storage.cut_bytes()) +
                      " bytes.");
    auto opened =
        std::make_unique<parts>(settings, options, std::move(storage), io);
    return std::unique_ptr<control_node>(new control_node(std::move(opened)));
}

control_node::control_node(std::unique_ptr<parts> opened) noexcept
    : parts_(std::move(opened))
{
}

control_node::~control_node()
{
    parts_->io.stop();
}

control_service& control_node::service() noexcept
{
    return parts_->service;
}

const latency_statistics& control_node::syncs() const noexcept
{
    return parts_->syncs;
}

void control_node::start()
{
    auto& it = *parts_;
    it.io.every(control_replica::tick_period, [&it] { it.replica.tick(); });
    it.io.every(load_report::period, [&it] { it.load.write(); });
    write_log(log_level::info, part, "Control replica started.");
}

void control_node::reload(const control_settings& settings)
{
    write_log(log_level::info, part, "Settings reloaded.");
    for (const auto& it : settings.process.control)
        parts_->replica.add_peer(to_text(it));
}

void control_node::drain(const http_server& listener)
{
    hand_over();
    wait_until([&] { return listener.requests_in_progress() == 0; });
    write_log(log_level::info, part, "Stopped.");
}

// Others go on without a pause when the leader hands over before it ends.
void control_node::hand_over()
{
    auto& replica = parts_->replica;
    const auto end = steady_now() + stop_patience;
    replica.hand_over();
    wait_until([&] { return !replica.leads() || steady_now() >= end; });
}

} // namespace lagoonquay
