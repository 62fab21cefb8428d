#include "fake_fleet.hpp"

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/request/job_codec.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr duration heartbeat_period = std::chrono::milliseconds(500);
constexpr duration grant_period = std::chrono::milliseconds(200);
constexpr duration overdue_check_period = std::chrono::milliseconds(50);
constexpr duration entry_period = std::chrono::milliseconds(50);
constexpr duration link_period = std::chrono::milliseconds(100);
constexpr duration link_silence = std::chrono::seconds(2);
constexpr duration claim_timeout = std::chrono::milliseconds(500);

std::string numbered(const std::string& name, std::size_t n)
{
    return name + "-" + std::to_string(n + 1);
}

} // namespace

struct fake_fleet::agent_node
{
    std::string name;
    domain_id domain;
    std::unique_ptr<fake_upstream> upstream;
    std::shared_ptr<agent_service> service;
};

struct fake_fleet::entry_node
{
    std::string name;
    domain_id domain;
    std::shared_ptr<ledger_replica> ledger;
    std::shared_ptr<entry_service> service;
};

fake_fleet::fake_fleet(const fake_fleet_options& options, event_hook on_event,
                       const fake_upstream::start_hook& on_start)
    : options_(options), on_event_(std::move(on_event)), network_(time_)
{
    for (std::size_t n = 0; n < options_.domains; ++n)
        controls_.push_back({numbered("control", n), fleet_view(), {}});
    for (std::size_t n = 0; n < options_.agents; ++n)
    {
        auto it = std::make_unique<agent_node>();
        it->name = numbered("agent", n);
        it->domain = domain_id(numbered("south", n % options_.domains));
        it->upstream = std::make_unique<fake_upstream>(
            network_, time_, it->name, it->domain.text(), on_start);
        agents_.emplace(it->name, std::move(it));
    }
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        auto it = std::make_unique<entry_node>();
        it->name = numbered("entry", n);
        it->domain = domain_id(numbered("south", n % options_.domains));
        entries_.emplace(it->name, std::move(it));
    }
    for (auto& [name, it] : agents_)
        build_agent(*it);
    for (auto& [name, it] : entries_)
        build_entry(*it);
    watch_links();
}

fake_fleet::~fake_fleet() = default;

void fake_fleet::advance(duration span)
{
    time_.advance(span);
}

instant fake_fleet::now() const noexcept
{
    return time_.now();
}

wall_time fake_fleet::wall() const noexcept
{
    return time_.wall();
}

fake_network& fake_fleet::network() noexcept
{
    return network_;
}

void fake_fleet::submit(const std::string& entry, const job& submitted,
                        const answer_hook& done)
{
    network_.send("caller", entry,
                  [this, entry, submitted, done]
                  {
                      auto& it = *entries_.at(entry);
                      it.service->submit(
                          submitted,
                          [this, entry, done](const job_answer& answer) {
                              network_.send(entry, "caller",
                                            [answer, done] { done(answer); });
                          });
                  });
}

void fake_fleet::cancel(const std::string& entry,
                        const submission_id& submission)
{
    network_.send("caller", entry,
                  [this, entry, submission]
                  { entries_.at(entry)->service->cancel_here(submission); });
}

void fake_fleet::kill(const std::string& node)
{
    network_.kill(node);
    close_links_of(node);
}

void fake_fleet::restart(const std::string& node)
{
    if (network_.alive(node))
        kill(node);
    network_.restart(node);
    if (const auto it = agents_.find(node); it != agents_.end())
        build_agent(*it->second);
    if (const auto it = entries_.find(node); it != entries_.end())
        build_entry(*it->second);
}

void fake_fleet::freeze(const std::string& node)
{
    network_.freeze(node);
}

void fake_fleet::thaw(const std::string& node)
{
    network_.thaw(node);
}

void fake_fleet::drain(const std::string& node)
{
    if (const auto it = agents_.find(node); it != agents_.end())
        it->second->service->drain();
    if (const auto it = entries_.find(node); it != entries_.end())
        it->second->service->drain();
}

void fake_fleet::set_domain_state(const domain_id& domain, bool in_service)
{
    const auto newest =
        std::max_element(controls_.begin(), controls_.end(),
                         [](const fake_control& left, const fake_control& right)
                         { return left.view->version < right.view->version; });
    const auto next = newest->view.with(
        [&](fleet_view_options& it)
        {
            it.version = version_number(it.version.number() + 1);
            if (in_service)
                it.out_domains.erase(domain);
            else
                it.out_domains.insert(domain);
        });
    const auto majority = controls_.size() / 2 + 1;
    for (std::size_t n = 0; n < majority; ++n)
        controls_[n].view = next;
}

void fake_fleet::leave_pending_out(const std::string& control,
                                   const domain_id& domain)
{
    for (auto& it : controls_)
    {
        if (it.name == control)
            it.pending_out.insert(domain);
    }
}

void fake_fleet::catch_up()
{
    for (auto& it : controls_)
    {
        it.view = controls_.front().view;
        it.pending_out.clear();
    }
}

std::uint32_t fake_fleet::most_running() const noexcept
{
    std::uint32_t most = 0;
    for (const auto& [name, it] : agents_)
        most = std::max(most, it->upstream->most_running());
    return most;
}

bool fake_fleet::knows(const std::string& node) const
{
    const auto control = [&](const fake_control& it)
    {
        return it.name == node;
    };
    return agents_.contains(node) || entries_.contains(node) ||
           std::any_of(controls_.begin(), controls_.end(), control);
}

// A service that died stays in memory until the end of the test, since work
// that it scheduled may still name it; the network drops that work.
void fake_fleet::build_agent(agent_node& it)
{
    if (it.service)
        retired_.push_back(it.service);
    agent_options options;
    options.id = agent_id(it.name);
    options.run = incarnation(next_run_++);
    options.domain = it.domain;
    options.address = it.name;
    auto* upstream = it.upstream.get();
    it.service = std::make_shared<agent_service>(
        options, agent_hooks{.now = [this] { return time_.now(); },
                             .call_upstream =
                                 [upstream](const upstream_call& call,
                                            const upstream_callback& done)
                             {
                                 upstream->call(call, done);
                             }});
    start_agent_ticks(it);
}

void fake_fleet::build_entry(entry_node& it)
{
    if (it.service)
        retired_.push_back(it.service);
    if (it.ledger)
        retired_.push_back(it.ledger);
    it.ledger = std::make_shared<ledger_replica>(
        ledger_options{.records_since = time_.wall()},
        [this] { return time_.now(); }, [this] { return time_.wall(); });
    entry_options options;
    options.id = entry_id(it.name);
    options.run = incarnation(next_run_++);
    options.domain = it.domain;
    options.address = it.name;
    it.service = std::make_shared<entry_service>(
        options, entry_hooks{.now = [this] { return time_.now(); },
                             .wall = [this] { return time_.wall(); },
                             .claim = claim_from(it.name),
                             .forward = forward_from(it.name),
                             .draw = [](std::uint64_t) -> std::uint64_t
                             {
                                 return 0;
                             }});
    start_entry_ticks(it);
}

// A tick of an earlier life ends with that life, since the network drops it.
void fake_fleet::schedule_ticks(const std::string& name, duration period,
                                const std::function<void()>& work)
{
    network_.at_node(name, period,
                     [this, name, period, work]
                     {
                         work();
                         schedule_ticks(name, period, work);
                     });
}

void fake_fleet::start_agent_ticks(agent_node& it)
{
    auto* service = it.service.get();
    auto* upstream = it.upstream.get();
    const auto beat = [this, service, upstream, name = it.name]
    {
        service->announce(upstream->announcement(options_.slots));
        ask_permit(
            name, [service] { return service->view(); },
            [service](const permit& granted) { service->set_permit(granted); });
    };
    beat();
    schedule_ticks(it.name, heartbeat_period, beat);
    schedule_ticks(it.name, grant_period, [service] { service->tick(); });
    schedule_ticks(it.name, overdue_check_period,
                   [service] { service->return_overdue_tasks(); });
}

void fake_fleet::start_entry_ticks(entry_node& it)
{
    auto* service = it.service.get();
    auto* node = &it;
    const auto beat = [this, service, name = it.name]
    {
        service->learn(known_agents(), entries_.size());
        ask_permit(
            name, [service] { return service->view(); },
            [service](const permit& granted) { service->set_permit(granted); });
    };
    beat();
    schedule_ticks(it.name, heartbeat_period, beat);
    schedule_ticks(it.name, entry_period, [service] { service->tick(); });
    schedule_ticks(it.name, link_period, [this, node] { link_agents(*node); });
}

void fake_fleet::link_agents(entry_node& it)
{
    for (const auto& about : it.service->agents().unlinked())
    {
        auto& agent = *agents_.at(about->id);
        const bool reachable = network_.alive(agent.name) &&
                               !network_.frozen(agent.name) &&
                               !network_.is_cut({it.name, agent.name});
        if (reachable)
            open_link_to(it, agent);
    }
}

void fake_fleet::open_link_to(entry_node& from, agent_node& to)
{
    const agent_id id(to.name);
    const auto near = std::make_shared<fake_link>(network_, from.name, to.name);
    const auto far = std::make_shared<fake_link>(network_, to.name, from.name);
    fake_link::join(near, far);
    links_.push_back(near);
    links_.push_back(far);
    from.service->agents().begin_link(id);
    to.service->on_link(far);
    from.service->on_link(id, near);
}

// Closes both ends of a link whose peer has been cut off or frozen for the
// silence that a WebSocket allows.
void fake_fleet::watch_links()
{
    for (const auto& it : links_)
    {
        if (!it->open())
            continue;
        const bool silent = network_.is_cut({it->own(), it->peer()}) ||
                            network_.frozen(it->peer());
        auto& since = silent_[it->own() + ">" + it->peer()];
        since = silent ? since + link_period : duration(0);
        if (since >= link_silence)
            it->close();
    }
    std::erase_if(links_, [](const auto& it) { return !it->open(); });
    time_.after(link_period, [this] { watch_links(); });
}

void fake_fleet::close_links_of(const std::string& node)
{
    const auto open = links_;
    for (const auto& it : open)
    {
        if (it->own() == node || it->peer() == node)
            it->close();
    }
}

void fake_fleet::ask_permit(
    const std::string& node, const std::function<fleet_view()>& known,
    const std::function<void(const permit&)>& set_permit)
{
    struct round
    {
        instant sent{};
        std::vector<permit_vote> votes;
    };
    const auto asked = std::make_shared<round>();
    asked->sent = time_.now();
    for (auto& control : controls_)
    {
        network_.send(node, control.name,
                      [this, &control, node, known, set_permit, asked]
                      {
                          const permit_vote vote{
                              .replica = replica_id(control.name),
                              .version = control.view->version,
                              .view = control.view,
                              .pending_out = control.pending_out};
                          network_.send(control.name, node,
                                        [this, vote, known, set_permit, asked]
                                        {
                                            asked->votes.push_back(vote);
                                            const auto merged = merge_votes(
                                                asked->votes, controls_.size(),
                                                known(), asked->sent);
                                            if (merged)
                                                set_permit(*merged);
                                        });
                      });
    }
}

claim_hook fake_fleet::claim_from(const std::string& entry)
{
    return [this, entry](const claim_request& asked, const claim_callback& done)
    {
        struct exchange
        {
            claim_tally tally;
            std::set<std::string> answered;
        };
        const auto shared = std::make_shared<exchange>(exchange{
            claim_tally(entries_.size(), asked->lease, time_.now()), {}});
        const auto add = [shared, done](const std::string& replica,
                                        const std::optional<claim_vote>& vote)
        {
            if (!shared->answered.insert(replica).second)
                return;
            if (const auto outcome = shared->tally.add(vote))
                done(*outcome);
        };
        for (const auto& [name, it] : entries_)
        {
            auto* peer = it.get();
            const auto answer = [this, entry, peer, asked, add]
            {
                const auto vote = peer->ledger->claim(asked);
                network_.send(peer->name, entry,
                              [add, peer, vote] { add(peer->name, vote); });
            };
            if (name == entry)
            {
                add(name, peer->ledger->claim(asked));
                continue;
            }
            network_.send(entry, name, answer);
            network_.at_node(entry, claim_timeout,
                             [add, name = name] { add(name, std::nullopt); });
        }
    };
}

forward_hook fake_fleet::forward_from(const std::string& entry)
{
    return [this, entry](const std::string& address, const job& work,
                         const forwarded_hook& done)
    {
        const auto answered = std::make_shared<bool>(false);
        const auto once =
            [answered, done](const std::optional<job_answer>& answer)
        {
            if (!std::exchange(*answered, true))
                done(answer);
        };
        network_.send(
            entry, address,
            [this, entry, address, work, once]
            {
                entries_.at(address)->service->submit(
                    work,
                    [this, entry, address, once](const job_answer& answer) {
                        network_.send(address, entry,
                                      [once, answer] { once(answer); });
                    });
            });
        network_.at_node(entry, work->time_limit,
                         [once] { once(std::nullopt); });
    };
}

std::vector<member> fake_fleet::known_agents() const
{
    std::vector<member> found;
    for (const auto& [name, it] : agents_)
    {
        if (network_.alive(name))
            found.push_back(it->service->self());
    }
    return found;
}

} // namespace lagoonquay
