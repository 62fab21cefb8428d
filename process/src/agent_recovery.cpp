// What an agent tells an entry that asks for tasks, or takes them back.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"

namespace lagoonquay
{

void agent_service::on_query(link_number link, const query_message& it)
{
    status_message status{it.submission, options_.id, options_.run, {}};
    if (it.agent_run == options_.run)
    {
        auto& shard = shard_of(it.submission);
        const std::lock_guard lock(shard.mutex);
        for (const auto& item : it.items)
        {
            const task_key key{it.submission, item.index};
            const auto found = shard.guard.query(key, item.last, hooks_.now());
            if (found.state == start_state::running)
                shard.watchers[key].insert(link);
            status.items.push_back(found);
        }
    }
    send(link, std::move(status));
}

// What was sent to an earlier run of this agent may have started there.
void agent_service::on_cancel(link_number link, const cancel_message& it)
{
    if (it.key.agent_run != options_.run)
        return;
    const task_key key{it.submission, it.key.index};
    bool forbidden = false;
    {
        auto& shard = shard_of(it.submission);
        const std::lock_guard lock(shard.mutex);
        forbidden = shard.guard.forbid(key, it.key.attempt, hooks_.now());
    }
    if (!forbidden)
        return;
    ++cancelled_;
    const task_result result({.index = it.key.index,
                              .reason = failure_reason::cancelled,
                              .ran = effect::not_run,
                              .body = {},
                              .detail = "cancelled before its start"});
    send(link, result_message{it.submission, it.key, result, 0, {}});
}

} // namespace lagoonquay
