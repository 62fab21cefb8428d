// Links to agents: incoming messages, and the agents that jobs may use.
#include "entry_job.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

} // namespace

// What was sent on an earlier link may be lost, so the first grant of this one
// leads to a query, whether the close of the earlier one has been heard or not.
void entry_service::on_link(const agent_id& agent,
                            const std::shared_ptr<message_link>& link)
{
    write_event(log_level::info, part, {}, "link_opened",
                {{"agent", agent.text()}});
    dispatcher_.agents().open(agent, link);
    link->send(hello_message{options_.id, options_.run});
    linked_.with_shard(agent, [&](auto& values) { values.erase(agent); });
    reset_link_caches();
    link->start({[this, agent](const std::vector<link_message>& it)
                 { on_messages(agent, it); },
                 [this, agent, closed = link.get()]
                 {
                     on_close(agent, closed);
                 }});
}

void entry_service::on_messages(const agent_id& agent,
                                const std::vector<link_message>& messages)
{
    for (const auto& it : messages)
    {
        if (const auto* grant = std::get_if<grant_message>(&it))
            on_grant(agent, *grant);
        if (const auto* result = std::get_if<result_message>(&it))
            on_result(agent, *result);
        if (const auto* status = std::get_if<status_message>(&it))
            on_status(agent, *status);
    }
    dispatcher_.pump(agent);
}

// The queries are sent before the first credits of the link can be used, so
// that they never forbid an attempt that was dispatched on this link.
void entry_service::on_grant(const agent_id& agent, const grant_message& grant)
{
    const bool fresh = linked_.with_shard(
        agent, [&](auto& values)
        { return values.emplace(agent, grant.agent_run).second; });
    if (fresh)
    {
        reset_link_caches();
        query_agent({agent, grant.agent_run});
    }
    dispatcher_.update(agent, grant, hooks_.now());
}

// check_lost() decides on the tasks of the lost agent, once it has reconnected
// or its time to do so has passed. The end of an older link leaves a newer one
// in use.
void entry_service::on_close(const agent_id& agent, const message_link* closed)
{
    write_event(log_level::info, part, {}, "link_lost",
                {{"agent", agent.text()}});
    if (!dispatcher_.agents().close(agent, closed))
        return;
    linked_.with_shard(agent, [&](auto& values) { values.erase(agent); });
    reset_link_caches();
}

// All jobs share one copy until a link changes. A change while the copy is made
// discards the copy afterwards.
std::shared_ptr<const entry_service::linked_runs> entry_service::linked_agents()
{
    const std::lock_guard lock(links_mutex_);
    return cached_links();
}

// The caller holds links_mutex_.
std::shared_ptr<const entry_service::linked_runs> entry_service::cached_links()
{
    if (links_)
        return links_;
    linked_runs found;
    linked_.for_each_shard([&](const auto& values)
                           { found.insert(values.begin(), values.end()); });
    links_ = std::make_shared<const linked_runs>(std::move(found));
    return links_;
}

agent_reach entry_service::linked_reach()
{
    const std::lock_guard lock(links_mutex_);
    if (reach_)
        return *reach_;
    agent_reach::list agents;
    for (const auto& [agent, run] : *cached_links())
        agents.push_back({agent, run});
    reach_ = agent_reach(std::move(agents));
    return *reach_;
}

void entry_service::reset_link_caches()
{
    const std::lock_guard lock(links_mutex_);
    links_.reset();
    reach_.reset();
}

} // namespace lagoonquay
