// Processes a worker's reports of its runs.
#include "run_table.hpp"

#include <algorithm>

namespace lagoonquay
{

// A run that is being stopped is not listed, and the stop may arrive late. The
// run has ended once its end is listed, or once the maximum time to stop it has
// passed since the worker accepted the stop.
void run_table::stop_unknown(const std::vector<running_run>& running,
                             instant asked_at, instant now)
{
    for (const auto& each : running)
    {
        const auto& id = each.run;
        if (runs_.contains(id))
            continue;
        note_resurfaced(id, true, now);
        foreign_.try_emplace(id);
    }
    std::erase_if(foreign_,
                  [&](const auto& each)
                  {
                      const auto& stopped = each.second.stopped;
                      return stopped && asked_at > *stopped + stop_time();
                  });
    for (auto& [id, it] : foreign_)
    {
        if (it.told != instant() && now - it.told < options_.stop_retry)
            continue;
        it.told = now;
        output_.stops.push_back({id, fence_});
    }
}

// A run that was given up but is still at the worker may run twice, because it
// may have been started elsewhere.
void run_table::note_resurfaced(const task_run& id, bool runs, instant now)
{
    const auto lost = given_up_.take(id);
    if (lost)
        output_.resurfaced.push_back({*lost, runs, now - lost->at});
}

void run_table::note_ends(const std::vector<ended_run>& ended, instant now)
{
    for (const auto& it : ended)
    {
        if (it.number <= seen_)
            continue;
        seen_ = it.number;
        note_resurfaced(it.run, false, now);
        foreign_.erase(it.run);
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
            note_stopped(it);
            break;
        case run_end::lapsed:
            finish(it.run, failure_reason::upstream_unreachable,
                   effect::unknown, "the run's lease ran out");
            break;
        }
    }
}

// A run that was stopped only because its start got no answer may be retried.
void run_table::note_stopped(const ended_run& ended)
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
void run_table::note_running(const std::vector<running_run>& running,
                             std::uint64_t number, instant asked_at,
                             instant now)
{
    std::set<task_run> there;
    for (const auto& it : running)
        there.insert(it.run);
    std::vector<task_run> missing;
    for (auto& [id, it] : runs_)
    {
        if (number <= it.settled)
            continue;
        const bool is_there = there.contains(id);
        if (is_there)
        {
            it.settled = orders_;
            it.start_settled = true;
        }
        const bool settled =
            it.at == phase::running ||
            (it.at == phase::gone && asked_at > it.stopped + stop_time());
        if (settled && !is_there)
            missing.push_back(id);
        if (it.at == phase::starting && is_there)
            it.at = phase::running;
        if (it.at != phase::doubtful)
            continue;
        it.at = is_there ? phase::running : phase::stopping;
        if (!is_there)
            send_stop(id, it, now);
    }
    for (const auto& id : missing)
        give_up(id, give_up_reason::absent, now, now - asked_at);
}

// A run that makes no progress is stopped, so that it can run elsewhere. Slow
// workers report progress at longer intervals, so the limit grows with the
// longest interval so far.
void run_table::note_progress(const std::vector<running_run>& running,
                              instant now)
{
    for (const auto& it : running)
    {
        const auto found = runs_.find(it.run);
        if (found == runs_.end() || found->second.at != phase::running)
            continue;
        auto& known = found->second;
        if (known.progressed == instant() || it.percent > known.percent)
        {
            if (known.progressed != instant())
                known.longest_gap =
                    std::max(known.longest_gap, now - known.progressed);
            known.progressed = now;
            known.percent = it.percent;
        }
        if (!stands_still(known, now))
            continue;
        known.at = phase::stopping;
        send_stop(it.run, known, now);
    }
}

bool run_table::stands_still(const run& it, instant now) const
{
    constexpr int longer_gap = 4;
    const auto most = std::max(options_.stall, longer_gap * it.longest_gap);
    return now - it.progressed > most;
}

} // namespace lagoonquay
