// Handling of queries and cancel messages from entries.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! @return whether an item of the query covers the dispatched attempt.
bool covers_attempt(const query_message& asked,
                    const dispatch_message& dispatch)
{
    return dispatch.submission == asked.submission &&
           std::any_of(asked.items.begin(), asked.items.end(),
                       [&](const query_item& item)
                       {
                           return item.index == dispatch.key.index &&
                                  dispatch.key.attempt <= item.last;
                       });
}

} // namespace

// The tombstone is set before the waiting list is read, so that a task that
// another thread takes from the list in between is rejected at its start.
void agent_service::on_query(link_number link, const query_message& query)
{
    status_message status{query.submission, options_.id, options_.run, {}};
    if (options_.late_run_time != duration::zero())
        status.begun.emplace();
    status.late_run_time = options_.late_run_time;
    if (query.agent_run == options_.run)
    {
        auto& shard = shard_of(query.submission);
        const std::lock_guard lock(shard.mutex);
        for (const auto& item : query.items)
        {
            const task_key key{query.submission, item.index};
            const auto found = shard.guard.query(key, item.last, hooks_.now());
            if (found.state == start_state::running)
            {
                add_watcher(shard, key, link);
                const auto begun = shard.begun.find(key);
                if (status.begun && begun != shard.begun.end() &&
                    begun->second == found.attempt)
                    status.begun->push_back({item.index, found.attempt});
            }
            status.items.push_back(found);
        }
    }
    if (query.agent_run == options_.run)
        decline_tasks(
            take_waiting([&](const waiting_start& waiting)
                         { return covers_attempt(query, waiting.message); }),
            failure_reason::not_startable, "a query forbade the start");
    send(link, std::move(status));
}

// The caller must hold the lock of the task's shard.
void agent_service::add_watcher(guard_shard& shard, const task_key& key,
                                link_number link)
{
    const auto [found, fresh] = shard.watchers.try_emplace(key);
    if (!fresh && found->second.empty())
        --runs_without_link_;
    found->second.insert(link);
    shard.orphans.erase(key);
}

// A task that was sent to an earlier process of this agent may have started
// there, so a cancel message for it gets no "not run" answer. An attempt that
// its entry gives up ends as one that the agent stopped by itself: the job was
// not cancelled, and whoever has it next may run the task again.
void agent_service::on_cancel(link_number link, const cancel_message& cancel)
{
    if (cancel.key.agent_run != options_.run)
        return;
    const task_key key{cancel.submission, cancel.key.index};
    bool forbidden = false;
    bool stops = true;
    {
        auto& shard = shard_of(cancel.submission);
        const std::lock_guard lock(shard.mutex);
        forbidden = shard.guard.forbid(key, cancel.key.attempt, hooks_.now());
        if (cancel.given_up && !forbidden)
            stops = give_up(shard, link, key, cancel.key.attempt);
    }
    const auto reason = cancel.given_up ? failure_reason::not_startable
                                        : failure_reason::cancelled;
    const std::string detail = cancel.given_up ? "given up before its start"
                                               : "cancelled before its start";
    const query_message asked{cancel.submission,
                              options_.run,
                              {{cancel.key.index, cancel.key.attempt}}};
    const auto waiting =
        take_waiting([&](const waiting_start& each)
                     { return covers_attempt(asked, each.message); });
    const bool answered = std::any_of(waiting.begin(), waiting.end(),
                                      [&](const waiting_start& each) {
                                          return each.link == link &&
                                                 each.message.key == cancel.key;
                                      });
    decline_tasks(waiting, reason, detail);
    if (!forbidden && stops)
        return stop_run(key, cancel.key.attempt);
    if (!forbidden)
        return;
    cancelled_ += cancel.given_up ? 0 : 1;
    if (answered)
        return;
    dispatch_message unseen;
    unseen.submission = cancel.submission;
    unseen.key = cancel.key;
    send_not_run(link, unseen, reason, detail, 0);
}

// Another entry that has asked for the run goes on with it. The caller must
// hold the lock of the task's shard.
// @return whether the attempt runs here and may be stopped.
bool agent_service::give_up(guard_shard& shard, link_number link,
                            const task_key& key, attempt_number attempt)
{
    const auto found = shard.repeatable.find(key);
    if (found == shard.repeatable.end() || found->second != attempt)
        return false;
    const auto& watchers = shard.watchers[key];
    const bool wanted =
        std::any_of(watchers.begin(), watchers.end(),
                    [link](link_number other) { return other != link; });
    if (!wanted)
        shard.stopped_by_agent.insert(key);
    return !wanted;
}

} // namespace lagoonquay
