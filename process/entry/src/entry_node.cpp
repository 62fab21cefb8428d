#include "lagoonquay/process/entry_node.hpp"

#include "entry_drain.hpp"
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/held_claims_http.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/ledger_records_http.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/load_report.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/program.hpp"

#include <mutex>
#include <optional>
#include <random>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
constexpr duration link_period = std::chrono::milliseconds(100);
constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr duration recovery_period = std::chrono::milliseconds(20);
constexpr duration expiry_period = std::chrono::seconds(1);

member self_member(const entry_settings& settings, incarnation run)
{
    member_options options;
    options.role = member_role::entry;
    options.id = settings.process.id;
    options.run = run;
    options.domain = settings.process.domain;
    options.address = to_text(settings.peers);
    options.serving = true;
    return member(std::move(options));
}

entry_options service_options(const entry_settings& settings,
                              const entry_node_options& node, incarnation run)
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
    options.dated_jobs = node.dated_jobs;
    options.permits = node.permits;
    options.max_view_age = node.max_view_age;
    return options;
}

ledger_options make_ledger_options(const entry_settings& settings)
{
    ledger_options options;
    options.records_since = wall_now();
    options.clock_skew = settings.clock_skew;
    options.retention = settings.claim_retention;
    options.oldest_submission = settings.oldest_submission;
    options.started_at = steady_now();
    return options;
}

void log_completion(const ledger_completion& it)
{
    write_event(log_level::info, part, {}, "ledger_complete",
                {{"by", to_text(it.by)},
                 {"after_ms", milliseconds_of(it.after)},
                 {"peers", static_cast<std::int64_t>(it.peers)},
                 {"with_old_runs", static_cast<std::int64_t>(it.with_old_runs)},
                 {"stray_runs", it.stray_runs ? "yes" : "no"}});
}

void log_change(const peer_change& it)
{
    write_event(log_level::info, part, {},
                it.is_dropped ? "entry_dropped" : "entry_listed",
                {{"entry", it.id},
                 {"entry_run", std::to_string(it.run.number())},
                 {"address", to_text(it.address)}});
}

void log_counted(const counted_entry& it)
{
    std::string told;
    for (const auto& by : it.told)
        told += (told.empty() ? "" : ",") + to_text(by);
    write_event(log_level::info, part, {}, "entry_counted",
                {{"entry", it.id},
                 {"address", to_text(it.address)},
                 {"after_ms", milliseconds_of(it.after)},
                 {"told_by", told}});
}

//! @return a thread-safe source of random numbers.
random_hook seeded_random_hook(std::uint64_t seed)
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

} // namespace

struct entry_node::parts
{
    parts(const entry_settings& given, entry_node_options node,
          io_threads& threads)
        : settings(given), options(node), run(draw_incarnation()), io(threads),
          client(io.context(), {}),
          ledger(make_ledger_options(given), steady_now, wall_now),
          peers(to_text(given.peers), entry_retention(given.claim_lease),
                steady_now),
          service(service_options(given, node, run), service_hooks()),
          permits(client, {.replicas = given.process.control}, permit_hooks()),
          recovery({}, recovery_hooks()), load(threads, *client.traffic())
    {
    }

    // Ledger replicas of a settings file may not be listed by control. Recovery
    // then gets no peers and never completes.
    std::optional<std::vector<endpoint>> recovery_peers()
    {
        if (!options.replicas_from_control || !peers.known())
            return std::nullopt;
        return peers.current();
    }

    // A cut that refuses connections also parts this entry from a majority of
    // control, unless it parts only some entries from each other.
    refusal_proof_hook refusal_proof()
    {
        return [this]
        {
            return service.is_in_touch_with_control();
        };
    }

    void ask_for_claims(const endpoint& peer, const held_claims_hook& done)
    {
        request_held_claims(
            client.send_hook(), peer, reaches_of_peers, refusal_proof(),
            [this, peer, done](const std::optional<held_claims>& answer)
            {
                peers.take_answer(peer, answer);
                done(answer);
            });
    }

    // The same for all questions: a record that one peer was not asked for may
    // be known to another.
    record_scope scope_of_records()
    {
        const std::lock_guard lock(scope_mutex);
        if (!scope)
            scope = make_record_scope(
                {settings.peers, domain_id(settings.process.domain)},
                peers.replicas());
        return *scope;
    }

    void ask_for_established()
    {
        for (const auto& it : peers.to_ask_for_established())
            request_established(
                client, it, refusal_proof(),
                [this, it](const std::optional<held_claims>& answer)
                { peers.take_answer(it, answer); });
    }

    ledger_recovery_hooks recovery_hooks()
    {
        return {
            .now = steady_now,
            .peers = [this] { return recovery_peers(); },
            .ask = [this](const endpoint& peer, const held_claims_hook& done)
            { ask_for_claims(peer, done); },
            .restore_claim = [this](const claim_request& claim)
            { ledger.restore_claim(claim); },
            .ask_for_records =
                [this](const endpoint& peer, std::uint64_t first_shard,
                       const peer_records_hook& done)
            {
                request_ledger_records(client.send_hook(), peer,
                                       scope_of_records(), first_shard,
                                       reaches_of_peers, refusal_proof(), done);
            },
            .restore_record = [this](const ledger_record& told)
            { ledger.restore_record(told); },
            .after = [this](duration delay, std::function<void()> work)
            { io.after(delay, std::move(work)); },
            .no_stray_runs = [this]
            { return service.agents().no_stray_runs(); },
            .done =
                [this](const ledger_completion& it)
            {
                log_completion(it);
                ledger.set_complete(scope_of_records());
            }};
    }

    // A probe of the ledger has no submission. It goes to all replicas and
    // finds out whether a majority can grant claims.
    replica_groups_hook groups_hook()
    {
        using groups = std::vector<replica_group>;
        if (options.replicas_from_control)
            return
                [this, self = ledger_peer{settings.peers,
                                          domain_id(settings.process.domain)}](
                    const submission_id& submission) -> groups
            {
                if (submission.empty())
                    return {all_replicas_group(submission, peers.current())};
                return choose_replica_groups(submission, self,
                                             peers.replicas());
            };
        return [others = settings.ledger_peers](
                   const submission_id& submission) -> groups
        {
            return {all_replicas_group(submission, others)};
        };
    }

    // Replicas of a settings file are the same for all entries.
    std::function<claim_request(const claim_request&)> tell_entries()
    {
        if (!options.replicas_from_control)
            return {};
        return [this](const claim_request& it)
        {
            return peers.tell_entries(it);
        };
    }

    told_groups_hook told_groups()
    {
        if (!options.replicas_from_control)
            return {};
        return [this](const endpoint& replica, const claim_request& asked,
                      const claim_vote& vote)
        {
            return peers.note_vote(replica, asked, vote);
        };
    }

    entry_hooks service_hooks()
    {
        return {.now = steady_now,
                .wall = wall_now,
                .claim = claim_over_http(
                    client, ledger,
                    {.groups = groups_hook(),
                     .tell_entries = tell_entries(),
                     .told_groups = told_groups(),
                     .after = [this](duration delay, std::function<void()> work)
                     { io.after(delay, std::move(work)); },
                     .patience = {},
                     .refusal_proves_end = refusal_proof()},
                    steady_now),
                .forward = forward_over_http(client),
                .cancel = cancel_over_http(client),
                .draw = seeded_random_hook(run.number()),
                .retry = {},
                .work_delay = [this]
                {
                    return io.usual_delay();
                }};
    }

    permit_client_hooks permit_hooks()
    {
        return {.now = steady_now,
                .self = [self = self_member(settings, run)] { return self; },
                .known = [this] { return service.view(); },
                .set_permit = [this](const permit& it)
                { service.set_permit(it); },
                .heard = [this] { service.record_control_contact(); },
                .learn =
                    [this](const std::vector<member>& agents,
                           const std::vector<member>& entries)
                {
                    peers.learn(entries, service.is_in_touch_with_control());
                    for (const auto& it : peers.take_changes())
                        log_change(it);
                    for (const auto& it : peers.take_counted())
                        log_counted(it);
                    service.learn(agents, peers.current().size() + 1);
                }};
    }

    void link_agent(const member& agent)
    {
        const agent_id id(agent->id);
        const auto target = parse_endpoint(agent->address);
        if (!target)
            return write_log(log_level::warning, part,
                             "Agent " + agent->id +
                                 " has an invalid address: '" + agent->address +
                                 "'.");
        service.agents().begin_link(id);
        open_link(
            io.context(), target.value(), "/v1/link",
            {.traffic = client.traffic()},
            [this, id](connection_result<std::shared_ptr<message_link>> opened)
            {
                if (!opened)
                    return service.agents().close(id);
                service.on_link(id, std::move(opened).value());
            });
    }

    void link_agents()
    {
        for (const auto& it : service.agents().unlinked())
            link_agent(it);
    }

    const entry_settings settings;
    const entry_node_options options;
    const incarnation run;
    io_threads& io;
    http_client client;
    ledger_replica ledger;
    entry_peers peers;
    std::mutex scope_mutex;
    std::optional<record_scope> scope; //!< of the records that are taken over
    known_reaches reaches_of_peers;
    latency_statistics answers;
    entry_service service;
    permit_client permits;
    ledger_recovery recovery;
    load_report load;
    std::optional<http_server> peer_listener;
    std::optional<http_server> operator_listener;
};

entry_node::entry_node(const entry_settings& settings,
                       entry_node_options options, io_threads& io)
    : parts_(std::make_unique<parts>(settings, options, io))
{
}

entry_node::~entry_node()
{
    parts_->io.stop();
}

entry_service& entry_node::service() noexcept
{
    return parts_->service;
}

latency_statistics& entry_node::answers() noexcept
{
    return parts_->answers;
}

process_result<void> entry_node::start()
{
    auto& node = *parts_;
    const auto& process = node.settings.process;
    auto peers = http_server::listen(
        node.io.context(), listener_options(process, node.settings.peers),
        peer_routes(node.service, node.ledger, node.peers, node.groups_hook(),
                    node.settings.jobs));
    auto operators = http_server::listen(
        node.io.context(), operator_listener_options(process),
        entry_operator_routes(node.service, node.answers,
                              *node.client.traffic()));
    BOOST_OUTCOME_TRY(require_listening({&peers, &operators}));
    node.peer_listener.emplace(std::move(peers).value());
    node.operator_listener.emplace(std::move(operators).value());
    node.permits.tick();
    node.io.every(permit_client::tick_period, [&node] { node.permits.tick(); });
    node.io.every(link_period, [&node] { node.link_agents(); });
    node.io.every(tick_period, [&node] { node.service.tick(); });
    node.io.every(recovery_period, [&node] { node.recovery.tick(); });
    if (node.options.replicas_from_control)
        node.io.every(established_period,
                      [&node] { node.ask_for_established(); });
    node.io.every(expiry_period, [&node] { node.ledger.expire(); });
    node.io.every(load_report::period,
                  [&node] { node.load.write(node.service.view_age()); });
    write_log(log_level::info, part, "Entry started.");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void entry_node::reload(const entry_settings& settings)
{
    write_log(log_level::info, part, "Settings reloaded.");
    parts_->permits.set_replicas(settings.process.control);
}

void entry_node::drain(http_server& callers)
{
    auto& node = *parts_;
    drain_entry({.service = node.service,
                 .callers = callers,
                 .peers = *node.peer_listener},
                {.notice = node.settings.drain_notice,
                 .job_end = node.settings.drain_job_end,
                 .end = node.settings.drain_end});
}

} // namespace lagoonquay
