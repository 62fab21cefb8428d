// What an agent tells an entry that asks for tasks, or takes them back.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/log.hpp"

#include <algorithm>
#include <iterator>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "agent";

//! @return whether the task is asked for by one of the items.
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

// The tombstone is set before the list is read: what is taken from the list in
// between meets the tombstone at its start.
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

// Call under the lock of the task's shard.
void agent_service::watch(guard_shard& shard, const task_key& key,
                          link_number link)
{
    const auto [found, fresh] = shard.watchers.try_emplace(key);
    if (!fresh && found->second.empty())
        --unwatched_;
    found->second.insert(link);
    shard.orphans.erase(key);
}

// An entry that starts again has lost the jobs of its earlier life: nobody will
// ask for their runs, and what is left of an old link is only silence.
void agent_service::on_hello(link_number link, const hello_message& it)
{
    for (const auto& [number, earlier] : take_earlier_links(it))
    {
        earlier.link->close();
        close_link(number, *earlier.peer);
    }
    {
        const std::lock_guard lock(links_mutex_);
        const auto found = links_.find(link);
        if (found != links_.end())
            found->second.peer = it;
    }
    end_grace(it);
    stop_orphans(hooks_.now());
    send_all_grants();
}

std::map<link_number, agent_service::open_link>
agent_service::take_earlier_links(const hello_message& it)
{
    std::map<link_number, open_link> taken;
    const std::lock_guard lock(links_mutex_);
    for (auto each = links_.begin(); each != links_.end();)
    {
        const auto& peer = each->second.peer;
        const auto next = std::next(each);
        if (peer && peer->entry == it.entry && peer->entry_run != it.entry_run)
            taken.insert(links_.extract(each));
        each = next;
    }
    return taken;
}

void agent_service::end_grace(const hello_message& it)
{
    for (const auto& guarded : guards_)
    {
        const std::lock_guard lock(guarded->mutex);
        for (auto& [key, run] : guarded->orphans)
        {
            if (run.owner.entry == it.entry &&
                run.owner.entry_run != it.entry_run)
                run.since =
                    std::min(run.since, hooks_.now() - options_.orphan_grace);
        }
    }
}

// An entry that lost its link soon opens a new one and asks for its tasks. A
// run that nobody asks for is stopped: its caller may already have another.
void agent_service::orphan_runs(link_number link, const hello_message& owner)
{
    const auto now = hooks_.now();
    for (const auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        for (auto& [key, links] : it->watchers)
        {
            if (links.erase(link) == 0 || !links.empty())
                continue;
            ++unwatched_;
            const auto found = it->repeatable.find(key);
            if (found != it->repeatable.end())
                it->orphans.emplace(key,
                                    orphaned_run{found->second, owner, now});
        }
    }
}

// Until the worker is ready or a lease has passed, runs of an earlier agent may
// be under way there.
std::uint32_t agent_service::stray_runs() const
{
    const auto end = options_.earlier_runs_end;
    const bool over = end > duration::zero() && hooks_.now() - began_ >= end;
    const std::lock_guard lock(standing_mutex_);
    const bool ready = standing_.upstream && !standing_.upstream->leaving;
    return unwatched_ + (over || ready ? 0 : 1);
}

void agent_service::stop_orphans(instant now)
{
    if (!hooks_.stop_upstream)
        return;
    std::vector<std::pair<task_key, attempt_number>> late;
    for (const auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        for (const auto& [key, run] : it->orphans)
        {
            if (now - run.since < options_.orphan_grace)
                continue;
            late.emplace_back(key, run.attempt);
            it->given_up.insert(key);
        }
    }
    for (const auto& [key, attempt] : late)
        stop_run(key, attempt);
}

// Its entry may come back and ask for it: it was not cancelled, and may run
// again.
task_result agent_service::end_of_stopped(const task_result& result)
{
    if (result->reason != failure_reason::cancelled)
        return result;
    return result.with(
        [](task_result_options& it)
        {
            it.reason = failure_reason::link_lost;
            it.ran = effect::unknown;
            it.detail = "stopped while its entry was away";
        });
}

void agent_service::stop_run(const task_key& key, attempt_number attempt)
{
    if (!hooks_.stop_upstream)
        return;
    write_event(log_level::info, part, key.submission, "stopping",
                {{"task", static_cast<std::int64_t>(key.index.number())}});
    hooks_.stop_upstream(key.submission, key.index, attempt);
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
