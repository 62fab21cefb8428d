// Handling of queries and cancel messages from entries.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! @return whether an item of the query covers the dispatched attempt.
bool names(const query_message& asked, const dispatch_message& it)
{
    return it.submission == asked.submission &&
           std::any_of(asked.items.begin(), asked.items.end(),
                       [&](const query_item& item) {
                           return item.index == it.key.index &&
                                  it.key.attempt <= item.last;
                       });
}

} // namespace

// The tombstone is set before the waiting list is read, so that a task that
// another thread takes from the list in between is rejected at its start.
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
            {
                watch(shard, key, link);
            }
            status.items.push_back(found);
        }
    }
    if (it.agent_run == options_.run)
        give_up(take_waiting([&](const waiting_start& waiting)
                             { return names(it, waiting.message); }),
                failure_reason::not_startable, "a query forbade the start");
    send(link, std::move(status));
}

// The caller must hold the lock of the task's shard.
void agent_service::watch(guard_shard& shard, const task_key& key,
                          link_number link)
{
    const auto [found, fresh] = shard.watchers.try_emplace(key);
    if (!fresh && found->second.empty())
        --unwatched_;
    found->second.insert(link);
    shard.orphans.erase(key);
}

// A task that was sent to an earlier process of this agent may have started
// there, so a cancel message for it gets no "not run" answer.
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
    const query_message asked{
        it.submission, options_.run, {{it.key.index, it.key.attempt}}};
    const auto waiting = take_waiting([&](const waiting_start& each)
                                      { return names(asked, each.message); });
    const bool answered =
        std::any_of(waiting.begin(), waiting.end(),
                    [&](const waiting_start& each) {
                        return each.link == link && each.message.key == it.key;
                    });
    give_up(waiting, failure_reason::cancelled, "cancelled before its start");
    if (!forbidden)
        return stop_run(key, it.key.attempt);
    ++cancelled_;
    if (answered)
        return;
    dispatch_message unseen;
    unseen.submission = it.submission;
    unseen.key = it.key;
    send_not_run(link, unseen, failure_reason::cancelled,
                 "cancelled before its start", 0);
}

} // namespace lagoonquay
