// Processes a worker's reports of its runs.
#include "run_table.hpp"

#include <algorithm>

namespace lagoonquay
{

// A run that is being stopped is not listed, and the stop may arrive late. The
// run has ended once its end is listed, or once the maximum time to stop it has
// passed since the worker accepted the stop.
void run_table::stop_unknown_runs(const std::vector<running_run>& running,
                                  instant asked_at, instant now)
{
    for (const auto& each : running)
    {
        const auto& id = each.run;
        if (runs_.contains(id))
            continue;
        record_resurfaced(id, true, now);
        if (unknown_runs_.try_emplace(id).second)
            output_.stopped.push_back(
                {id, stop_cause::unknown_run, fence_, now - asked_at});
    }
    std::erase_if(unknown_runs_,
                  [&](const auto& each)
                  {
                      const auto& stopped = each.second.stopped;
                      return stopped && asked_at > *stopped + stop_time();
                  });
    for (auto& [id, it] : unknown_runs_)
    {
        if (it.stop_sent != instant() &&
            now - it.stop_sent < options_.stop_retry_delay)
            continue;
        it.stop_sent = now;
        output_.stops.push_back({id, fence_});
    }
}

// A run that was given up may have been started elsewhere, so if the worker
// still reports it, it may run twice.
void run_table::record_resurfaced(const task_run& id, bool is_running,
                                  instant now)
{
    const auto lost = given_up_.take(id);
    if (lost)
        output_.resurfaced.push_back({*lost, is_running, now - lost->at});
}

void run_table::record_ends(const std::vector<ended_run>& ended, instant now)
{
    for (const auto& it : ended)
    {
        if (it.number <= last_end_seen_)
            continue;
        last_end_seen_ = it.number;
        record_resurfaced(it.run, false, now);
        unknown_runs_.erase(it.run);
        switch (it.how)
        {
        case run_end::done:
            finish(it.run, failure_reason::none, effect::ran, {});
            break;
        case run_end::failed:
            finish(it.run, failure_reason::upstream_failed, effect::ran,
                   "the run failed at the worker");
            break;
        case run_end::stopped:
            record_stopped(it);
            break;
        case run_end::lapsed:
            finish(it.run, failure_reason::upstream_unreachable,
                   effect::unknown, "the run's lease ran out");
            break;
        }
    }
}

// A run that was stopped only because its start got no answer may be retried.
void run_table::record_stopped(const ended_run& ended)
{
    const auto found = runs_.find(ended.run);
    if (found == runs_.end())
        return;
    if (found->second.cancelled)
        return finish(ended.run, failure_reason::cancelled, effect::ran,
                      "the run was stopped");
    finish(ended.run, failure_reason::upstream_unreachable, effect::unknown,
           "the worker did not answer the start");
}

// A report is valid for a run only if it was requested after the last answer
// about that run, because answers on different connections overtake each other.
// A report that lists the run counts as such an answer. A start without an
// answer that is not listed may still arrive, so it is stopped first.
void run_table::record_running(const std::vector<running_run>& running,
                               std::uint64_t number, instant asked_at,
                               instant now)
{
    std::set<task_run> there;
    for (const auto& it : running)
        there.insert(it.run);
    std::vector<task_run> missing;
    for (auto& [id, it] : runs_)
    {
        const bool is_there = there.contains(id);
        it.is_life_confirmed = it.is_life_confirmed || is_there;
        if (number <= it.stale_reports_up_to)
            continue;
        it.is_life_confirmed = it.is_life_confirmed || it.is_start_resolved;
        if (is_there)
        {
            it.stale_reports_up_to = last_extension_number_;
            resolve_start(id, it);
        }
        const bool is_settled = it.current_phase == phase::running ||
                                (it.current_phase == phase::stop_accepted &&
                                 asked_at > it.stopped + stop_time());
        if (is_settled && !is_there)
            missing.push_back(id);
        if (it.current_phase == phase::starting && is_there)
            it.current_phase = phase::running;
        if (it.current_phase != phase::unconfirmed)
            continue;
        it.current_phase = phase::running;
        if (!is_there)
            begin_stop(id, it, stop_cause::unanswered, now, now - asked_at);
    }
    for (const auto& id : missing)
        give_up(id, give_up_reason::absent, now, now - asked_at);
}

// A run that makes no progress is stopped, so that it can run elsewhere. Slow
// workers report progress at longer intervals, so the limit grows with the
// longest interval so far.
void run_table::record_progress(const std::vector<running_run>& running,
                                instant now)
{
    for (const auto& it : running)
    {
        const auto found = runs_.find(it.run);
        if (found == runs_.end() ||
            found->second.current_phase != phase::running)
            continue;
        auto& known = found->second;
        if (known.progressed_at == instant() || it.percent > known.percent)
        {
            if (known.progressed_at != instant())
                known.max_progress_gap =
                    std::max(known.max_progress_gap, now - known.progressed_at);
            known.progressed_at = now;
            known.percent = it.percent;
        }
        if (!is_stalled(known, now))
            continue;
        begin_stop(it.run, known, stop_cause::no_progress, now);
    }
}

bool run_table::is_stalled(const run& it, instant now) const
{
    constexpr int stall_gap_factor = 4;
    const auto most = std::max(options_.min_stall_timeout,
                               stall_gap_factor * it.max_progress_gap);
    return now - it.progressed_at > most;
}

} // namespace lagoonquay
