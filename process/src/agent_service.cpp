#include "lagoonquay/process/agent_service.hpp"

#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/log.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "agent";

std::string explain(start_verdict verdict)
{
    switch (verdict)
    {
    case start_verdict::start:
        return "started";
    case start_verdict::duplicate:
        return "the task has started before";
    case start_verdict::fenced:
        return "the start is forbidden";
    case start_verdict::claim_expired:
        return "the claim ran out";
    case start_verdict::wrong_agent_run:
        return "addressed to another run of the agent";
    }
    return {};
}

} // namespace

agent_service::agent_service(agent_options options, agent_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)), grants_(0)
{
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
        grants_.open(number);
    }
    link->start({[this, number](const std::vector<link_message>& it)
                 { on_messages(number, it); },
                 [this, number]
                 {
                     on_close(number);
                 }});
    send_grant({number, 0, 0}, false);
    send_changed_grants();
}

void agent_service::announce(const upstream_announcement& it)
{
    {
        const std::lock_guard lock(standing_mutex_);
        standing_.upstream = it;
        standing_.upstream_heard = hooks_.now();
    }
    {
        const std::lock_guard lock(grants_mutex_);
        const auto others = running_of_others(it, options_.run);
        grants_.resize(it.slots - std::min(it.slots, others));
        capacity_.resize(it.capacity);
    }
    send_changed_grants();
}

void agent_service::hold(const permit& granted)
{
    const std::lock_guard lock(standing_mutex_);
    standing_.held = granted;
}

void agent_service::tick()
{
    const auto now = hooks_.now();
    for (auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        it->guard.expire(now);
    }
    send_changed_grants();
    send_all_grants();
}

void agent_service::drain()
{
    {
        const std::lock_guard lock(standing_mutex_);
        standing_.draining = true;
    }
    {
        const std::lock_guard lock(grants_mutex_);
        grants_.drain();
        grants_.rebalance();
    }
    send_all_grants();
}

// A credit that is out may stand for a dispatch on its way; it is awaited, so
// that the dispatch is declined as not run rather than lost with the link.
bool agent_service::drained() const
{
    {
        const std::lock_guard lock(grants_mutex_);
        if (!grants_.drained())
            return false;
    }
    return finished_ == started_ && unsent() == 0;
}

std::uint32_t agent_service::running() const
{
    const std::lock_guard lock(grants_mutex_);
    return grants_.running();
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
    const std::lock_guard lock(standing_mutex_);
    member_options it;
    it.role = member_role::agent;
    it.id = options_.id.text();
    it.run = options_.run;
    it.domain = options_.domain;
    it.address = options_.address;
    it.serving = standing_.upstream && !standing_.draining;
    if (standing_.upstream)
    {
        it.slots = standing_.upstream->slots;
        it.capacity = standing_.upstream->capacity;
    }
    return member(std::move(it));
}

fleet_view agent_service::view() const
{
    const std::lock_guard lock(standing_mutex_);
    return standing_.held ? (*standing_.held)->view : fleet_view();
}

agent_counts agent_service::counts() const noexcept
{
    return {started_, finished_, declined_, cancelled_};
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
        const std::lock_guard lock(standing_mutex_);
        state["accepting"] = accepting(standing_);
        state["draining"] = standing_.draining;
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
        if (const auto* dispatch = std::get_if<dispatch_message>(&it))
            on_dispatch(link, *dispatch);
        if (const auto* cancel = std::get_if<cancel_message>(&it))
            on_cancel(link, *cancel);
        if (const auto* query = std::get_if<query_message>(&it))
            on_query(link, *query);
        if (const auto* demand = std::get_if<demand_message>(&it))
        {
            const std::lock_guard lock(grants_mutex_);
            grants_.demand(link, demand->wanted, demand->returned_total);
        }
    }
    send_changed_grants();
}

void agent_service::on_close(link_number link)
{
    {
        const std::lock_guard lock(links_mutex_);
        links_.erase(link);
    }
    {
        const std::lock_guard lock(grants_mutex_);
        grants_.close(link);
    }
    send_changed_grants();
}

// The slot is taken first and the permit is read last, so that as little as
// possible lies between the permit check and the upstream call.
void agent_service::on_dispatch(link_number link, const dispatch_message& it)
{
    bool has_slot = false;
    bool has_room = false;
    std::uint64_t credits = 0;
    {
        const std::lock_guard lock(grants_mutex_);
        has_slot = grants_.start(link, it.wanted);
        has_room = has_slot && capacity_.reserve(it.work->need);
        if (has_slot && !has_room)
            credits = grants_.finish_for(link).value_or(0);
    }
    if (!has_slot)
        return decline(link, it, failure_reason::not_startable,
                       "no credit for a slot");
    if (!has_room)
        return decline(link, it, failure_reason::not_startable,
                       "the worker has no room for the need", credits);
    const auto upstream = permitted_upstream();
    auto verdict = start_verdict::fenced;
    if (upstream)
        verdict = try_start(link, it);
    if (upstream && verdict == start_verdict::start)
        return run(link, it, *upstream);
    credits = free_slot(link, it.work->need);
    if (!upstream && draining())
        return decline(link, it, failure_reason::draining, "shutting down",
                       credits);
    if (!upstream)
        return decline(link, it, failure_reason::no_permit,
                       "no permit to start", credits);
    decline(link, it, failure_reason::not_startable, explain(verdict), credits);
}

// The link is noted under the same lock as the start, so that a result that
// comes at once finds it.
start_verdict agent_service::try_start(link_number link,
                                       const dispatch_message& it)
{
    auto& shard = shard_of(it.submission);
    const std::lock_guard lock(shard.mutex);
    const auto verdict = shard.guard.try_start(it, hooks_.now());
    if (verdict == start_verdict::start)
        shard.watchers[{it.submission, it.key.index}].insert(link);
    return verdict;
}

void agent_service::run(link_number link, const dispatch_message& it,
                        const endpoint& upstream)
{
    ++started_;
    const upstream_call call{upstream,       it.submission, it.key.index,
                             it.key.attempt, options_.run,  it.work->payload,
                             it.run_limit};
    hooks_.call_upstream(call, [this, link, it, started = hooks_.now()](
                                   const task_result& result)
                         { on_result(link, it, result, started); });
}

// A result whose links are all closed stays with the guard and is sent when an
// entry asks for it. The credit goes back to the link that spent it.
void agent_service::on_result(link_number link, const dispatch_message& it,
                              const task_result& result, instant started)
{
    std::set<link_number> watchers;
    {
        const task_key key{it.submission, it.key.index};
        auto& shard = shard_of(it.submission);
        const std::lock_guard lock(shard.mutex);
        const bool last =
            shard.guard.finish(key, it.key.attempt, result, hooks_.now());
        const auto waiting = shard.watchers.find(key);
        if (waiting != shard.watchers.end())
            watchers = waiting->second;
        if (last)
            shard.watchers.erase(key);
    }
    const auto credits = free_slot(link, it.work->need);
    const auto ran_for = hooks_.now() - started;
    for (const auto& watcher : watchers)
        send(watcher, result_message{it.submission, it.key, result,
                                     watcher == link ? credits : 0, ran_for});
    ++finished_;
    send_changed_grants();
}

// The tombstone goes first: once the entry hears "not run", this attempt can
// never start here. What was addressed to another run of the agent may have
// started there. Of a task that has started, the entry is told how it stands.
void agent_service::decline(link_number link, const dispatch_message& it,
                            failure_reason reason, const std::string& detail,
                            std::uint64_t credits_total)
{
    ++declined_;
    bool forbidden = false;
    {
        auto& shard = shard_of(it.submission);
        const std::lock_guard lock(shard.mutex);
        forbidden = shard.guard.forbid({it.submission, it.key.index},
                                       it.key.attempt, hooks_.now());
    }
    if (!forbidden)
        return on_query(
            link,
            {it.submission, options_.run, {{it.key.index, it.key.attempt}}});
    write_log(log_level::info, part, it.submission,
              "Dispatch declined: " + detail + ".");
    const bool never = it.key.agent_run == options_.run;
    const task_result result({.index = it.key.index,
                              .reason = reason,
                              .ran = never ? effect::not_run : effect::unknown,
                              .body = {},
                              .detail = detail});
    send(link,
         result_message{it.submission, it.key, result, credits_total, {}});
}

std::uint64_t agent_service::free_slot(link_number link, const resources& need)
{
    const std::lock_guard lock(grants_mutex_);
    capacity_.release(need);
    return grants_.finish_for(link).value_or(0);
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
        changed = grants_.rebalance();
    }
    for (const auto& it : changed)
        send_grant(it, false);
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
            totals = grants_.totals(it);
        }
        send_grant(totals, true);
    }
}

void agent_service::send_grant(const link_grant& totals, bool only_if_due)
{
    const auto grant = grant_for(totals);
    std::shared_ptr<message_link> target;
    {
        const std::lock_guard lock(links_mutex_);
        const auto it = links_.find(totals.link);
        if (it == links_.end())
            return;
        if (only_if_due && !it->second.pacing.due(grant))
            return;
        it->second.pacing.sent(grant);
        target = it->second.link;
    }
    target->send(grant);
}

grant_message agent_service::grant_for(const link_grant& totals) const
{
    const std::lock_guard lock(standing_mutex_);
    grant_message grant;
    grant.agent = options_.id;
    grant.agent_run = options_.run;
    grant.agent_time = hooks_.now();
    grant.credits_total = totals.credits_total;
    grant.recalled_total = totals.recalled_total;
    grant.accepting = accepting(standing_);
    if (standing_.upstream)
    {
        grant.slots = standing_.upstream->slots;
        grant.capacity = standing_.upstream->capacity;
    }
    return grant;
}

std::optional<endpoint> agent_service::permitted_upstream() const
{
    const std::lock_guard lock(standing_mutex_);
    if (!accepting(standing_))
        return std::nullopt;
    return standing_.upstream->address;
}

bool agent_service::draining() const
{
    const std::lock_guard lock(standing_mutex_);
    return standing_.draining;
}

bool agent_service::accepting(const standing& it) const
{
    const auto now = hooks_.now();
    const bool upstream_ready =
        it.upstream && !it.upstream->leaving &&
        now - it.upstream_heard <= options_.upstream_silence;
    return upstream_ready && !it.draining && it.held &&
           allows_start(*it.held, options_.id, options_.domain, now);
}

agent_service::guard_shard&
agent_service::shard_of(const submission_id& submission)
{
    return *guards_[std::hash<submission_id>()(submission) % shard_count];
}

} // namespace lagoonquay
