#include "lagoonquay/process/agent_table.hpp"

#include "lagoonquay/connection/message_link.hpp"

#include <algorithm>
#include <type_traits>

namespace lagoonquay
{

namespace
{

//! An agent that control has not listed for this long is removed.
constexpr duration unlisted_timeout = std::chrono::seconds(30);

} // namespace

// Runs an edit of the agent's credits and updates the sum of all free credits.
template <typename Edit>
auto agent_table::change_credits(entry& agent, Edit edit)
{
    const auto before = std::int64_t{agent.credits.available()};
    if constexpr (std::is_void_v<decltype(edit())>)
    {
        edit();
        credits_ += std::int64_t{agent.credits.available()} - before;
    }
    else
    {
        const auto result = edit();
        credits_ += std::int64_t{agent.credits.available()} - before;
        return result;
    }
}

void agent_table::learn(const std::vector<member>& agents, instant now)
{
    for (const auto& it : agents)
    {
        const agent_id id(it->id);
        agents_.with_shard(id,
                           [&](auto& values)
                           {
                               values[id].description = it;
                               values[id].last_listed = now;
                           });
    }
    if (!agents.empty())
        remove_unlisted(now);
}

// A control replica that has just started lists few agents, so that an agent is
// not removed because a single list lacks it. An agent that is still linked is
// removed by a later call, after the close of its link was reported.
void agent_table::remove_unlisted(instant now)
{
    std::vector<std::shared_ptr<message_link>> closing;
    agents_.for_each_shard(
        [&](auto& values)
        {
            std::erase_if(values,
                          [&](const auto& each)
                          {
                              const auto& it = each.second;
                              if (now - it.last_listed < unlisted_timeout ||
                                  it.outstanding > 0)
                                  return false;
                              if (it.link)
                                  closing.push_back(it.link);
                              return !it.link && !it.linking;
                          });
        });
    for (const auto& it : closing)
        it->close();
}

std::vector<member> agent_table::unlinked()
{
    std::vector<member> found;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                if (it.link || it.linking)
                    continue;
                found.push_back(it.description);
            }
        });
    return found;
}

void agent_table::begin_link(const agent_id& agent)
{
    agents_.with_shard(agent,
                       [&](auto& values) { values[agent].linking = true; });
}

void agent_table::open(const agent_id& agent,
                       std::shared_ptr<message_link> link)
{
    agents_.with_shard(agent,
                       [&](auto& values)
                       {
                           auto& it = values[agent];
                           reset_link_state(it);
                           it.link = std::move(link);
                       });
}

void agent_table::close(const agent_id& agent)
{
    agents_.with_shard(agent,
                       [&](auto& values)
                       {
                           auto& it = values[agent];
                           reset_link_state(it);
                           it.linking = false;
                       });
}

bool agent_table::close(const agent_id& agent, const message_link* closed)
{
    return agents_.with_shard(agent,
                              [&](auto& values)
                              {
                                  auto& it = values[agent];
                                  if (it.link.get() != closed)
                                      return false;
                                  reset_link_state(it);
                                  it.linking = false;
                                  return true;
                              });
}

void agent_table::update(const agent_id& agent, const grant_message& grant,
                         instant now)
{
    note_late_run_time(grant.late_run_time);
    std::optional<return_message> returned;
    agents_.with_shard(
        agent,
        [&](auto& values)
        {
            auto& it = values[agent];
            change_credits(it, [&] { it.credits.update(grant.credits_total); });
            it.last = grant;
            if (grant.drained)
                it.drained_run = grant.agent_run;
            it.has_no_stray_runs =
                it.has_no_stray_runs || grant.stray_runs == 0;
            update_other_load(it, grant.used, grant.dispatches_total);
            it.grant_received_at = now;
            it.health.set_accepting(grant.accepting, now);
            if (!grant.draining || it.credits.available() == 0)
                return;
            returned = return_message{
                change_credits(it, [&] { return it.credits.give_back(); })};
        });
    if (returned)
        send(agent, *returned);
}

std::vector<route_candidate> agent_table::candidates(instant now)
{
    const auto options = health_options();
    std::vector<route_candidate> found;
    found.reserve(agents_.size());
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                if (auto described = describe(id, it, options, now))
                    found.push_back(*std::move(described));
            }
        });
    return found;
}

std::optional<route_candidate> agent_table::candidate(const agent_id& agent,
                                                      instant now)
{
    const auto options = health_options();
    return agents_.with(agent,
                        [&](entry* it) -> std::optional<route_candidate>
                        {
                            if (it == nullptr)
                                return std::nullopt;
                            return describe(agent, *it, options, now);
                        });
}

std::optional<route_candidate>
agent_table::describe(const agent_id& id, entry& agent,
                      const agent_health_options& options, instant now)
{
    const auto credits = agent.credits.available();
    if (!agent.link || !agent.last || credits == 0)
        return std::nullopt;
    const auto limit =
        agent.health.max_in_flight(options, agent.last->slots, now);
    if (limit <= agent.outstanding)
        return std::nullopt;
    return route_candidate{
        id,
        agent.description->domain,
        std::min(credits, limit - agent.outstanding),
        agent.outstanding,
        agent.other_tasks,
        agent.last->slots,
        agent.last->capacity,
        subtract(agent.last->capacity,
                 add(agent.dispatched_need, agent.other_tasks_need)),
        agent.last->service};
}

std::optional<agent_id> agent_table::best_fit(const route_request& asked,
                                              instant now)
{
    const auto options = health_options();
    std::optional<agent_id> best;
    resources most_free;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
            {
                if (!it.last || !fits(asked.need, it.last->capacity) ||
                    !serves(it.last->service, asked.service) ||
                    it.health.max_in_flight(options, it.last->slots, now) == 0)
                    continue;
                const auto free =
                    subtract(it.last->capacity, it.dispatched_need);
                if (best && free <= most_free)
                    continue;
                best = id;
                most_free = free;
            }
        });
    return best;
}

bool agent_table::accepts(const agent_id& agent)
{
    return agents_.with(agent,
                        [](const entry* it) {
                            return it != nullptr && it->link && it->last &&
                                   it->last->accepting;
                        });
}

std::uint32_t agent_table::usable_slots(const service_id& service)
{
    std::uint32_t slots = 0;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
            {
                if (!it.link || !it.last || !it.last->accepting ||
                    !serves(it.last->service, service))
                    continue;
                slots += it.outstanding + it.credits.available();
            }
        });
    return slots;
}

// If the workers lack different resources by first_misfit(), the name that is
// last in the alphabet is returned: "processors" before "memory" before
// "accelerators". Workers whose capacity is not announced yet count as large
// enough.
std::optional<std::string>
agent_table::unsatisfiable_resource(const resources& need,
                                    const service_id& service)
{
    std::optional<std::string> lacking;
    bool found = false;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
            {
                if (it.last && !serves(it.last->service, service))
                    continue;
                const auto& capacity =
                    it.last ? it.last->capacity : it.description->capacity;
                const auto lacks = first_misfit(need, capacity);
                found = found || !lacks || capacity == resources();
                if (lacks && (!lacking || *lacks > *lacking))
                    lacking = lacks;
            }
        });
    return found ? std::nullopt : lacking;
}

bool agent_table::has_worker_of(const service_id& service)
{
    bool found = false;
    agents_.for_each_shard(
        [&](const auto& values)
        {
            found =
                found ||
                std::any_of(values.begin(), values.end(),
                            [&](const auto& each)
                            {
                                const auto& last = each.second.last;
                                return last && serves(last->service, service);
                            });
        });
    return found;
}

std::optional<taken_credit> agent_table::take(const agent_id& agent,
                                              instant now)
{
    const auto options = health_options();
    return agents_.with(
        agent,
        [&](entry* it) -> std::optional<taken_credit>
        {
            if (it == nullptr || !it->link || !it->last)
                return std::nullopt;
            const auto limit =
                it->health.max_in_flight(options, it->last->slots, now);
            if (it->outstanding >= limit)
                return std::nullopt;
            if (!change_credits(*it, [&] { return it->credits.take(); }))
                return std::nullopt;
            ++it->outstanding;
            return taken_credit{it->link, it->last->agent_run,
                                it->last->agent_time, it->grant_received_at,
                                it->last->late_run_time};
        });
}

void agent_table::undo_take(const agent_id& agent)
{
    agents_.with(agent,
                 [&](entry* it)
                 {
                     if (it == nullptr || it->outstanding == 0)
                         return;
                     --it->outstanding;
                     change_credits(*it, [&] { it->credits.undo_take(); });
                 });
}

// If the link was closed or replaced since the credit was taken,
// reset_link_state() has already dropped the credits and dispatches of that
// link.
void agent_table::begin(const taken_credit& credit,
                        const dispatch_message& message, open_dispatch opened)
{
    agents_.with(
        message.key.agent,
        [&](entry* it)
        {
            if (it == nullptr || it->link != credit.link)
                return;
            it->dispatched_need = add(it->dispatched_need, opened.need);
            it->unconfirmed.sent(opened.need);
            it->open.emplace(open_key{{message.submission, message.key.index},
                                      message.key.attempt},
                             std::move(opened));
        });
}

// A duplicate result finds no open dispatch, so that nothing is freed twice.
std::optional<open_dispatch> agent_table::release(const agent_id& agent,
                                                  const result_message& result)
{
    const open_key key{{result.submission, result.key.index},
                       result.key.attempt};
    return agents_.with(
        agent,
        [&](entry* it) -> std::optional<open_dispatch>
        {
            if (it == nullptr)
                return std::nullopt;
            change_credits(*it,
                           [&] { it->credits.update(result.credits_total); });
            const auto found = it->open.find(key);
            if (found == it->open.end())
                return std::nullopt;
            auto ended = std::move(found->second);
            it->open.erase(found);
            it->dispatched_need = subtract(it->dispatched_need, ended.need);
            if (it->outstanding > 0)
                --it->outstanding;
            update_other_load(*it, result.used, result.dispatches_total);
            const auto unconfirmed = it->unconfirmed.count();
            const auto own =
                it->outstanding - std::min(it->outstanding, unconfirmed);
            it->other_tasks = result.busy > own ? result.busy - own : 0;
            return ended;
        });
}

void agent_table::observe(const agent_id& agent, bool success, instant now)
{
    const auto options = health_options();
    agents_.with(agent,
                 [&](entry* it)
                 {
                     if (it == nullptr)
                         return;
                     if (success)
                         it->health.record_success();
                     else
                         it->health.record_failure(options, now);
                 });
}

void agent_table::observe_run(const agent_id& agent, double ratio)
{
    agents_.with(agent,
                 [&](entry* it)
                 {
                     if (it != nullptr)
                         it->health.record_run_ratio(ratio);
                 });
}

void agent_table::set_health_options(const agent_health_options& options)
{
    const std::lock_guard lock(health_mutex_);
    health_options_ = options;
}

void agent_table::send(const agent_id& agent, link_message message)
{
    std::shared_ptr<message_link> link;
    agents_.with(agent,
                 [&](entry* it)
                 {
                     if (it != nullptr)
                         link = it->link;
                 });
    if (link)
        link->send(std::move(message));
}

bool agent_table::any_credit() const noexcept
{
    return credits_ > 0;
}

std::size_t agent_table::size()
{
    return agents_.size();
}

// The agent's reported use doesn't include dispatches that it had not received
// when it sent the report, so these don't count as this entry's part of it.
void agent_table::update_other_load(entry& agent, const resources& used,
                                    std::uint64_t dispatches_total)
{
    agent.unconfirmed.confirmed(dispatches_total);
    const auto own = subtract(agent.dispatched_need, agent.unconfirmed.needs());
    agent.other_tasks_need = subtract(used, own);
}

// The health stays: a new link doesn't mean that the worker has recovered.
void agent_table::reset_link_state(entry& agent)
{
    change_credits(agent, [&] { agent.credits = credit_account(); });
    agent.link.reset();
    agent.last.reset();
    agent.health.set_accepting(false, {});
    agent.dispatched_need = {};
    agent.unconfirmed = {};
    agent.open.clear();
    agent.outstanding = 0;
    agent.other_tasks = 0;
    agent.other_tasks_need = {};
}

agent_health_options agent_table::health_options() const
{
    const std::lock_guard lock(health_mutex_);
    return health_options_;
}

} // namespace lagoonquay
