#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/decision_log.hpp"

#include "lagoonquay/connection/message_link.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

agent_service::agent_service(agent_options options, agent_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      began_(hooks_.now())
{
    agent_state_.last_announcement_at = began_;
    agent_state_.last_permit_at = began_;
    for (auto& it : guards_)
        it = std::make_unique<guard_shard>(
            start_guard_options{options_.run, options_.record_retention});
}

agent_service::~agent_service() = default;

void agent_service::on_link(const std::shared_ptr<message_link>& link)
{
    link_number number;
    {
        const std::lock_guard lock(links_mutex_);
        number = link_number(next_link_++);
        links_[number].link = link;
    }
    {
        const std::lock_guard lock(grants_mutex_);
        slots_.open(number);
    }
    link->start({[this, number](const std::vector<link_message>& it)
                 { on_messages(number, it); },
                 [this, number]
                 {
                     on_close(number);
                 }});
    send_grant({number, 0}, false);
    send_changed_grants();
}

void agent_service::announce(const upstream_announcement& announcement)
{
    bool changed = false;
    {
        const std::lock_guard lock(agent_state_mutex_);
        const auto& known = agent_state_.upstream;
        changed = !known || known->leaving != announcement.leaving ||
                  known->address != announcement.address ||
                  known->service != announcement.service;
        agent_state_.upstream = announcement;
        agent_state_.last_announcement_at = hooks_.now();
    }
    if (changed)
        write_event(log_level::info, "agent", {}, "upstream",
                    {{"address", to_text(announcement.address)},
                     {"service", announcement.service.text()},
                     {"takes_tasks", announcement.leaving ? "no" : "yes"}});
    {
        const std::lock_guard lock(grants_mutex_);
        const auto others = running_of_others(announcement, options_.run);
        slots_.resize(announcement.slots - std::min(announcement.slots, others),
                      announcement.capacity);
    }
    send_changed_grants();
    // Entries whose credits are as before may wait for zero stray runs.
    send_all_grants();
}

void agent_service::set_permit(const permit& granted)
{
    bool newer = false;
    {
        const std::lock_guard lock(agent_state_mutex_);
        const auto& held = agent_state_.held;
        agent_state_.last_permit_at = hooks_.now();
        if (held && granted->view->version < (*held)->view->version)
            return;
        newer = !held || (*held)->view->version < granted->view->version;
        agent_state_.held = granted;
    }
    if (newer)
        log_version("agent", granted);
}

void agent_service::tick()
{
    const auto now = hooks_.now();
    for (auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        it->guard.expire(now);
    }
    stop_orphans(now);
    send_changed_grants();
    send_all_grants();
}

void agent_service::drain()
{
    {
        const std::lock_guard lock(agent_state_mutex_);
        agent_state_.draining = true;
    }
    {
        const std::lock_guard lock(grants_mutex_);
        slots_.drain();
    }
    send_all_grants();
    decline_waiting();
    tell_if_drained();
}

// An outstanding credit may have been spent on a dispatch that is in flight.
// The drain waits for its return, so that the dispatch is declined as not run
// rather than lost with the link.
bool agent_service::has_nothing_left() const
{
    {
        const std::lock_guard lock(grants_mutex_);
        if (!slots_.drained())
            return false;
    }
    return finished_ == started_;
}

bool agent_service::drained() const
{
    return has_told_drained_ && has_nothing_left() && unsent() == 0;
}

// An entry that adopts a job after the end of this process need not wait for a
// start of it.
void agent_service::tell_if_drained()
{
    if (has_told_drained_ || !has_nothing_left())
        return;
    send_all_grants();
    has_told_drained_ = true;
}

std::uint32_t agent_service::running() const
{
    const std::lock_guard lock(grants_mutex_);
    return slots_.running();
}

std::size_t agent_service::unsent() const
{
    const std::lock_guard lock(links_mutex_);
    std::size_t n = 0;
    for (const auto& [number, it] : links_)
        n += it.link->unsent();
    return n;
}

member agent_service::self() const
{
    const std::lock_guard lock(agent_state_mutex_);
    member_options options;
    options.role = member_role::agent;
    options.id = options_.id.text();
    options.run = options_.run;
    options.domain = options_.domain;
    options.address = options_.address;
    options.serving = agent_state_.upstream && !agent_state_.draining;
    if (agent_state_.upstream)
    {
        options.slots = agent_state_.upstream->slots;
        options.capacity = agent_state_.upstream->capacity;
    }
    return member(std::move(options));
}

fleet_view agent_service::view() const
{
    const std::lock_guard lock(agent_state_mutex_);
    return agent_state_.held ? (*agent_state_.held)->view : fleet_view();
}

agent_counts agent_service::counts() const noexcept
{
    return {started_, finished_, declined_, cancelled_};
}

const reason_counts& agent_service::declines_by_reason() const noexcept
{
    return declines_by_reason_;
}

duration agent_service::permit_left() const
{
    const std::lock_guard lock(agent_state_mutex_);
    return left_of(agent_state_.held, hooks_.now());
}

duration agent_service::time_since_control() const
{
    const std::lock_guard lock(agent_state_mutex_);
    return hooks_.now() - agent_state_.last_permit_at;
}

duration agent_service::upstream_silence() const
{
    const std::lock_guard lock(agent_state_mutex_);
    return hooks_.now() - agent_state_.last_announcement_at;
}

std::string agent_service::dump() const
{
    const auto me = self();
    const auto n = counts();
    json::object state{{"role", "agent"},
                       {"id", options_.id.text()},
                       {"run", std::to_string(options_.run.number())},
                       {"domain", options_.domain.text()},
                       {"slots", me->slots},
                       {"running", running()},
                       {"serving", me->serving},
                       {"version", view()->version.number()},
                       {"started", n.started},
                       {"finished", n.finished},
                       {"declined", n.declined},
                       {"cancelled", n.cancelled}};
    {
        const std::lock_guard lock(agent_state_mutex_);
        state["accepting"] = accepting(agent_state_);
        state["draining"] = agent_state_.draining;
    }
    {
        const std::lock_guard lock(links_mutex_);
        state["links"] = links_.size();
    }
    std::size_t records = 0;
    for (const auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        records += it->guard.size();
    }
    state["start_records"] = records;
    return json::serialize(state);
}

void agent_service::on_messages(link_number link,
                                const std::vector<link_message>& messages)
{
    for (const auto& it : messages)
    {
        if (const auto* hello = std::get_if<hello_message>(&it))
            on_hello(link, *hello);
        if (const auto* returned = std::get_if<return_message>(&it))
        {
            const std::lock_guard lock(grants_mutex_);
            slots_.give_back(link, returned->returned_total);
        }
        if (const auto* dispatch = std::get_if<dispatch_message>(&it))
            on_dispatch(link, *dispatch);
        if (const auto* cancel = std::get_if<cancel_message>(&it))
            on_cancel(link, *cancel);
        if (const auto* query = std::get_if<query_message>(&it))
            on_query(link, *query);
    }
    send_changed_grants();
}

void agent_service::on_close(link_number link)
{
    std::map<link_number, open_link>::node_type closed;
    {
        const std::lock_guard lock(links_mutex_);
        closed = links_.extract(link);
    }
    if (!closed.empty())
        close_link(link, closed.mapped());
}

// Waiting tasks were never started; their tombstones report this to a later
// query. Running tasks continue, and their results are kept for later queries.
void agent_service::close_link(link_number link, const open_link& closed)
{
    std::vector<waiting_start> waiting;
    {
        const std::lock_guard lock(grants_mutex_);
        slots_.close(link);
        waiting = slots_.take_waiting([link](const waiting_start& it)
                                      { return it.link == link; });
    }
    decline_tasks(waiting, failure_reason::not_startable, "the link closed");
    const auto peer = closed.peer.value_or(hello_message());
    const auto runs = orphan_runs(link, peer, orphaned_since(*closed.link));
    write_event(
        log_level::info, "agent", {}, "link_closed",
        {{"entry", peer.entry.text()},
         {"entry_run", std::to_string(peer.entry_run.number())},
         {"waiting", static_cast<std::int64_t>(waiting.size())},
         {"runs", static_cast<std::int64_t>(runs)},
         {"silent_ms", milliseconds_of(closed.link->time_since_received())}});
    send_changed_grants();
}

std::uint64_t agent_service::release_slot(link_number link,
                                          const resources& need)
{
    const std::lock_guard lock(grants_mutex_);
    return slots_.finish(link, need);
}

void agent_service::send(link_number link, link_message message)
{
    std::shared_ptr<message_link> target;
    {
        const std::lock_guard lock(links_mutex_);
        const auto it = links_.find(link);
        if (it == links_.end())
            return;
        target = it->second.link;
    }
    target->send(std::move(message));
}

void agent_service::send_changed_grants()
{
    std::vector<link_grant> changed;
    {
        const std::lock_guard lock(grants_mutex_);
        changed = slots_.refill();
    }
    for (const auto& it : changed)
        send_grant(it, false);
    tell_if_drained();
}

void agent_service::send_all_grants()
{
    std::vector<link_number> open;
    {
        const std::lock_guard lock(links_mutex_);
        for (const auto& [number, it] : links_)
            open.push_back(number);
    }
    for (const auto& it : open)
    {
        link_grant totals;
        {
            const std::lock_guard lock(grants_mutex_);
            totals = slots_.total(it);
        }
        send_grant(totals, true);
    }
}

// An entry whose hello has not arrived on this link may have runs of an earlier
// process on another link, so one more stray run is reported until then.
void agent_service::send_grant(const link_grant& totals, bool only_if_due)
{
    bool has_peer = false;
    {
        const std::lock_guard lock(links_mutex_);
        const auto it = links_.find(totals.link);
        has_peer = it != links_.end() && it->second.peer;
    }
    // Counted after the look at the hello, which makes stray runs before it
    // names the peer.
    auto grant = grant_for(totals);
    grant.stray_runs = count_stray_runs() + (has_peer ? 0 : 1);
    std::shared_ptr<message_link> target;
    {
        const std::lock_guard lock(links_mutex_);
        const auto it = links_.find(totals.link);
        if (it == links_.end())
            return;
        if (only_if_due && !grant.draining && !it->second.pacing.due(grant))
            return;
        it->second.pacing.sent(grant);
        target = it->second.link;
    }
    target->send(grant);
}

grant_message agent_service::grant_for(const link_grant& totals) const
{
    const auto here = load(totals.link);
    const bool nothing_left = has_nothing_left();
    const std::lock_guard lock(agent_state_mutex_);
    grant_message grant;
    grant.drained = nothing_left;
    grant.used = here.needs;
    grant.dispatches_total = here.received;
    grant.agent = options_.id;
    grant.agent_run = options_.run;
    grant.agent_time = hooks_.now();
    grant.credits_total = totals.credits_total;
    grant.accepting = accepting(agent_state_);
    grant.draining = agent_state_.draining;
    grant.late_run_time = options_.late_run_time;
    if (agent_state_.upstream)
    {
        grant.slots = agent_state_.upstream->slots;
        grant.capacity = agent_state_.upstream->capacity;
        grant.service = agent_state_.upstream->service;
    }
    return grant;
}

std::optional<upstream_announcement> agent_service::permitted_upstream() const
{
    const std::lock_guard lock(agent_state_mutex_);
    if (!accepting(agent_state_))
        return std::nullopt;
    return agent_state_.upstream;
}

bool agent_service::draining() const
{
    const std::lock_guard lock(agent_state_mutex_);
    return agent_state_.draining;
}

agent_service::task_load agent_service::load(link_number link) const
{
    const std::lock_guard lock(grants_mutex_);
    return {slots_.busy(), slots_.demand(), slots_.received(link)};
}

bool agent_service::accepting(const agent_state& state) const
{
    const auto now = hooks_.now();
    const bool upstream_ready =
        state.upstream && !state.upstream->leaving &&
        now - state.last_announcement_at <= options_.upstream_silence;
    return upstream_ready && !state.draining && state.held &&
           allows_start(*state.held, options_.id, options_.domain,
                        permit_time(*state.held, options_.permits, now));
}

agent_service::guard_shard&
agent_service::shard_of(const submission_id& submission)
{
    return *guards_[std::hash<submission_id>()(submission) % shard_count];
}

} // namespace lagoonquay
