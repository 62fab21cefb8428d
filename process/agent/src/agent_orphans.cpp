// Handling of runs whose entry has restarted or lost its link.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/decision_log.hpp"

#include <algorithm>
#include <iterator>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "agent";

// Of the time that entries allow for a run without a link, a tick is the rest.
constexpr duration max_grace_and_stop = std::chrono::milliseconds(650);

} // namespace

agent_options with_stop_time(agent_options options, duration stop_time)
{
    options.orphan_grace =
        std::min(options.orphan_grace,
                 std::max(max_grace_and_stop - stop_time, duration::zero()));
    return options;
}

// An entry that restarts has lost the jobs of its earlier process, so no query
// for their runs will come. An old link of that process may stay open without
// traffic, so it is closed here.
void agent_service::on_hello(link_number link, const hello_message& hello)
{
    for (const auto& [number, earlier] : take_superseded_links(hello))
    {
        earlier.link->close();
        close_link(number, earlier);
    }
    {
        const std::lock_guard lock(links_mutex_);
        const auto found = links_.find(link);
        if (found != links_.end())
            found->second.peer = hello;
    }
    expire_orphan_grace(hello);
    stop_orphans(hooks_.now());
    send_all_grants();
}

std::map<link_number, agent_service::open_link>
agent_service::take_superseded_links(const hello_message& hello)
{
    std::map<link_number, open_link> taken;
    const std::lock_guard lock(links_mutex_);
    for (auto each = links_.begin(); each != links_.end();)
    {
        const auto& peer = each->second.peer;
        const auto next = std::next(each);
        if (peer && peer->entry == hello.entry &&
            peer->entry_run != hello.entry_run)
            taken.insert(links_.extract(each));
        each = next;
    }
    return taken;
}

void agent_service::expire_orphan_grace(const hello_message& hello)
{
    for (const auto& guarded : guards_)
    {
        const std::lock_guard lock(guarded->mutex);
        for (auto& [key, run] : guarded->orphans)
        {
            if (run.owner.entry == hello.entry &&
                run.owner.entry_run != hello.entry_run)
                run.since =
                    std::min(run.since, hooks_.now() - options_.orphan_grace);
        }
    }
}

// The entry may have lost the link just after it last sent anything, and starts
// its tasks elsewhere after a time that it counts from there. So the silence
// that this agent has waited out counts against the grace.
instant agent_service::orphaned_since(const message_link& closed) const
{
    const auto now = hooks_.now();
    const auto last_heard = now - closed.time_since_received();
    return std::min(now, last_heard + options_.max_unheard_run_time -
                             options_.orphan_grace);
}

// An entry that lost its link soon opens a new one and queries its tasks. A
// repeatable run that no entry queries within the grace is stopped, because its
// caller may already have another attempt of it running.
//! @return the number of runs that no open link waits for any more.
std::size_t agent_service::orphan_runs(link_number link,
                                       const hello_message& owner,
                                       instant since)
{
    std::size_t orphaned = 0;
    for (const auto& it : guards_)
    {
        const std::lock_guard lock(it->mutex);
        for (auto& [key, links] : it->watchers)
        {
            if (links.erase(link) == 0 || !links.empty())
                continue;
            ++runs_without_link_;
            ++orphaned;
            const auto found = it->repeatable.find(key);
            if (found != it->repeatable.end())
                it->orphans.emplace(key,
                                    orphaned_run{found->second, owner, since});
        }
    }
    return orphaned;
}

// Stray runs are those that no open link waits for. Until the worker is ready
// or `earlier_runs_timeout` has passed, runs that an earlier agent process
// started may still be in progress at the worker; they count as one.
std::uint32_t agent_service::count_stray_runs() const
{
    const auto end = options_.earlier_runs_timeout;
    const bool over = end > duration::zero() && hooks_.now() - began_ >= end;
    const std::lock_guard lock(agent_state_mutex_);
    const bool ready = agent_state_.upstream && !agent_state_.upstream->leaving;
    return runs_without_link_ + (over || ready ? 0 : 1);
}

void agent_service::stop_orphans(instant now)
{
    if (!hooks_.stop_upstream_task)
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
            it->stopped_by_agent.insert(key);
        }
    }
    for (const auto& [key, attempt] : late)
        stop_run(key, attempt);
}

// The caller did not cancel a run that the agent stopped. If its entry
// reconnects and queries it, the result must allow a retry.
task_result agent_service::result_of_stopped_run(const task_result& result)
{
    if (result->reason != failure_reason::cancelled)
        return result;
    return result.with(
        [](task_result_options& it)
        {
            it.reason = failure_reason::link_lost;
            it.ran = effect::unknown;
            it.detail = "stopped, as its entry was away or gave it up";
        });
}

void agent_service::stop_run(const task_key& key, attempt_number attempt)
{
    if (!hooks_.stop_upstream_task)
        return;
    write_event(log_level::info, part, key.submission, "stopping",
                {{"task", static_cast<std::int64_t>(key.index.number())}});
    hooks_.stop_upstream_task(key.submission, key.index, attempt);
}

} // namespace lagoonquay
