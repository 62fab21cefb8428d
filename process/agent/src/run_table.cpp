#include "run_table.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

task_run run_of(const upstream_call& call)
{
    return {call.submission, call.index, call.attempt};
}

std::string explain(give_up_reason why)
{
    switch (why)
    {
    case give_up_reason::absent:
        return "the run is no longer at the worker";
    case give_up_reason::lease_over:
        return "the worker did not answer until its lease ran out";
    case give_up_reason::refused:
        return "the worker declined the start";
    case give_up_reason::restarted:
        return "the worker restarted";
    }
    return {};
}

} // namespace

duration max_run_time_without_agent(const leased_runs_options& options) noexcept
{
    return options.lease + options.lease / clock_drift_part +
           options.clock_margin;
}

duration max_late_run_time(const leased_runs_options& options) noexcept
{
    return options.max_order_delay + options.longest_lease +
           options.longest_lease / clock_drift_part + options.clock_margin +
           options.stop_time;
}

run_table::run_table(leased_runs_options options) : options_(options)
{
}

void run_table::start(const upstream_call& call, upstream_callback done,
                      instant now)
{
    const auto id = run_of(call);
    if (!worker_ || runs_.contains(id) || held_.contains(id) || !ready(now))
    {
        output_.results.push_back(
            {std::move(done),
             task_result({.index = call.index,
                          .reason = failure_reason::not_startable,
                          .ran = effect::not_run,
                          .body = {},
                          .detail = "no worker answers"})});
        return;
    }
    run fresh;
    fresh.done = std::move(done);
    fresh.ordered = now;
    fresh.retry_end =
        now + std::min(call.retry_window, options_.max_order_delay);
    fresh.clock_when_ordered = clock_;
    fresh.stale_reports_up_to = last_extension_number_;
    runs_.emplace(id, std::move(fresh));
    output_.starts.push_back({id, call.payload, next_lease_end(now), fence_});
}

void run_table::stop(const task_run& id, instant now)
{
    const auto found = runs_.find(id);
    if (found == runs_.end() ||
        found->second.current_phase == phase::stopping ||
        found->second.current_phase == phase::stop_accepted)
        return;
    // The stop also revokes a start that is still in flight.
    found->second.cancelled = true;
    begin_stop(id, found->second, stop_cause::asked, now);
}

// After the last lease has expired, nothing runs at the worker, and it accepts
// no earlier start, because each start contains the end of its lease.
void run_table::tick(instant now)
{
    release_held_results(now);
    if (!worker_)
        return;
    if (now > all_runs_end_at_ && !extension_in_flight_)
        give_up_lapsed(now);
    for (auto& [id, it] : runs_)
    {
        if (it.current_phase == phase::stopping &&
            now - it.stop_sent >= options_.stop_retry_delay)
            send_stop(id, it, now);
    }
    extend_if_needed(now);
}

void run_table::on_start(worker_life life, const start_order& order,
                         const order_reply& reply, instant now)
{
    if (!is_current_life(life))
        return;
    handle_reply(reply, now);
    const auto found = runs_.find(order.run);
    if (found == runs_.end())
        return;
    auto& it = found->second;
    switch (result_in_this_life(it, reply))
    {
    case order_result::accepted:
        it.stale_reports_up_to = last_extension_number_;
        resolve_start(order.run, it);
        it.accepted = now;
        it.clock_when_accepted = reply.clock.value_or(it.clock_when_ordered);
        if (it.current_phase == phase::starting ||
            it.current_phase == phase::unconfirmed)
            it.current_phase = phase::running;
        return extend_if_needed(now);
    case order_result::next_life:
        mark_life_unconfirmed(now);
        [[fallthrough]];
    case order_result::unknown:
        if (it.current_phase != phase::starting)
            return;
        it.current_phase = phase::unconfirmed;
        it.stale_reports_up_to = last_extension_number_;
        output_.unanswered.push_back({order.run, now - it.ordered,
                                      reply.result != order_result::unknown});
        return poll_if_needed(now);
    case order_result::fenced:
        raise_fence(order.fence, reply, now);
        [[fallthrough]];
    case order_result::superseded:
    case order_result::too_late:
    case order_result::no_room:
        return decline(order.run, failure_reason::not_startable,
                       "the worker declined the start", now);
    case order_result::unhealthy:
    case order_result::other_life:
        return decline(order.run, failure_reason::upstream_unreachable,
                       "the worker takes no start now", now);
    case order_result::invalid:
        return decline(order.run, failure_reason::upstream_failed,
                       "the worker can't read the start", now);
    }
}

void run_table::resolve_start(const task_run& id, run& it)
{
    if (!std::exchange(it.is_start_resolved, true))
        output_.accepted.push_back(id);
}

// A stop that was accepted revokes a start that has not arrived yet. While a
// run is being stopped, it is listed neither as running nor as ended.
void run_table::on_stop(worker_life life, const stop_order& order,
                        const order_reply& reply, instant now)
{
    if (!is_current_life(life))
        return;
    handle_reply(reply, now);
    if (reply.result == order_result::fenced)
        raise_fence(order.fence, reply, now);
    if (reply.result != order_result::accepted)
        return;
    const auto unknown = unknown_runs_.find(order.run);
    if (unknown != unknown_runs_.end())
        unknown->second.stopped = now;
    const auto found = runs_.find(order.run);
    if (found == runs_.end())
        return;
    found->second.current_phase = phase::stop_accepted;
    found->second.stopped = now;
    poll_if_needed(now);
}

void run_table::on_extended(worker_life life, const numbered_extension& sent,
                            const lease_reply& reply, instant now)
{
    if (!is_current_life(life))
        return;
    if (extension_in_flight_ == sent.number)
        extension_in_flight_.reset();
    if (poll_in_flight_ == sent.number)
        poll_in_flight_.reset();
    handle_reply(reply.order, now);
    if (reply.order.result == order_result::fenced)
        raise_fence(sent.order.fence, reply.order, now);
    if (reply.order.result == order_result::next_life)
        mark_life_unconfirmed(now);
    if (reply.order.result != order_result::accepted)
        return poll_if_needed(now);
    last_report_at_ = now;
    if (!fence_accepted_ && sent.order.fence == fence_)
        fence_accepted_ = now;
    last_end_acknowledged_ = std::max(last_end_acknowledged_, sent.order.seen);
    record_ends(reply.ended, now);
    record_running(reply.running, sent.number, sent.sent, now);
    record_progress(reply.running, now);
    stop_unknown_runs(reply.running, sent.sent, now);
    ready_ =
        ready_ || (unknown_runs_.empty() && earlier_stops_are_over(sent.sent));
    was_ready_ = was_ready_ || ready_;
    extend_if_needed(now);
}

run_table_output run_table::take_output(instant now)
{
    output_.readiness_changed = last_reported_ready_ != ready(now);
    last_reported_ready_ = ready(now);
    run_table_output taken = std::move(output_);
    output_ = {};
    if (worker_)
        taken.worker = *worker_;
    return taken;
}

bool run_table::ready(instant now) const
{
    return ready_ && !is_unresponsive(now);
}

std::size_t run_table::size() const noexcept
{
    return runs_.size();
}

bool run_table::is_current_life(worker_life life) const noexcept
{
    return worker_ && worker_->life == life;
}

void run_table::handle_reply(const order_reply& reply, instant now)
{
    if (reply.result != order_result::unknown)
        unanswered_since_.reset();
    else if (!unanswered_since_)
        unanswered_since_ = now;
    if (reply.clock)
        update_clock(*reply.clock, now);
}

// A time before the last received one is stale, because a later answer overtook
// the one that contains it.
void run_table::update_clock(worker_time clock, instant now)
{
    if (clock < clock_)
        return;
    clock_ = clock;
    clock_updated_at_ = now;
}

bool run_table::is_unresponsive(instant now) const
{
    return unanswered_since_ &&
           now - *unanswered_since_ > options_.unresponsive_timeout;
}

worker_time run_table::worker_now(instant now) const
{
    return clock_ +
           std::chrono::duration_cast<worker_time>(now - clock_updated_at_);
}

// Also records until when runs may continue if no further answer arrives.
worker_time run_table::next_lease_end(instant now)
{
    const auto time_without_report = now - clock_updated_at_ + options_.lease;
    all_runs_end_at_ =
        std::max(all_runs_end_at_, now + options_.lease +
                                       time_without_report / clock_drift_part +
                                       options_.clock_margin);
    const auto end = worker_now(now) +
                     std::chrono::duration_cast<worker_time>(options_.lease);
    last_lease_end_ = std::max(last_lease_end_, end);
    return end;
}

void run_table::begin_stop(const task_run& id, run& it, stop_cause cause,
                           instant now, duration list_age)
{
    it.current_phase = phase::stopping;
    output_.stopped.push_back({id, cause, fence_, list_age});
    send_stop(id, it, now);
}

void run_table::send_stop(const task_run& id, run& it, instant now)
{
    it.stop_sent = now;
    output_.stops.push_back({id, fence_});
}

duration run_table::stop_time() const noexcept
{
    return options_.stop_time + options_.clock_margin / 4;
}

bool run_table::needs_poll() const
{
    return !unknown_runs_.empty() ||
           std::any_of(
               runs_.begin(), runs_.end(),
               [](const auto& it)
               {
                   return it.second.current_phase == phase::unconfirmed ||
                          it.second.current_phase == phase::stop_accepted;
               });
}

// At most one extension is in flight; the worker holds it until a run ends or
// its wait is over. It extends no lease while this agent has no run and does
// not know yet that the worker has none of an earlier agent: such a run must
// not outlast max_run_time_without_agent().
void run_table::extend_if_needed(instant now)
{
    poll_if_needed(now);
    if (!worker_ || extension_in_flight_)
        return;
    const bool idle = runs_.empty() && ready_ && !unanswered_since_;
    if (idle && last_end_acknowledged_ == last_end_seen_)
        return;
    const bool waits = !runs_.empty() && ready_ && !unanswered_since_;
    const bool awaits_recovery = runs_.empty() && ready_ && unanswered_since_;
    const auto period =
        awaits_recovery ? options_.extend_period : options_.min_poll_period;
    if (!waits && now - last_extension_at_ < period)
        return;
    lease_order order;
    order.seen = last_end_seen_;
    if (!unanswered_since_ && (ready_ || !runs_.empty()))
        order.lease_end = next_lease_end(now);
    if (waits)
        order.wait = options_.extend_period;
    last_extension_at_ = now;
    output_.extensions.push_back(number_order(order, now));
    extension_in_flight_ = last_extension_number_;
}

// Sends a request that the worker answers at once, in addition to the waiting
// extension, whose answer may be lost. If a report is overdue, the request
// extends the lease as well.
void run_table::poll_if_needed(instant now)
{
    const bool overdue =
        !runs_.empty() && now - last_report_at_ > options_.report_timeout;
    if (!worker_ || poll_in_flight_ || !(needs_poll() || overdue) ||
        now - last_poll_at_ < options_.min_poll_period)
        return;
    lease_order order;
    order.seen = last_end_seen_;
    if (overdue && !unanswered_since_)
        order.lease_end = next_lease_end(now);
    last_poll_at_ = now;
    output_.extensions.push_back(number_order(order, now));
    poll_in_flight_ = last_extension_number_;
}

numbered_extension run_table::number_order(lease_order order, instant now)
{
    order.fence = fence_;
    return {order, ++last_extension_number_, now};
}

void run_table::finish(const task_run& id, failure_reason reason, effect ran,
                       const std::string& detail)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    output_.results.push_back(
        {std::move(found->second.done), task_result({.index = id.index,
                                                     .reason = reason,
                                                     .ran = ran,
                                                     .body = {},
                                                     .detail = detail})});
    runs_.erase(found);
}

// A start without an answer can't begin in this life any more: it was revoked,
// or its lease is over. The next life knows of neither, so the caller must not
// run the task elsewhere while the start may still arrive there.
void run_table::give_up(const task_run& id, give_up_reason why, instant now,
                        duration list_age)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const given_up_run lost{id, why, now - found->second.ordered, list_age,
                            now};
    given_up_.add(lost);
    output_.given_up.push_back(lost);
    const bool may_begin_later = !found->second.is_start_resolved;
    const auto until = found->second.retry_end;
    finish(id, failure_reason::upstream_unreachable, effect::unknown,
           explain(why));
    if (!may_begin_later || now >= until)
        return;
    held_.emplace(lost.run,
                  held_result{std::move(output_.results.back()), now, until});
    output_.results.pop_back();
    output_.held.push_back({lost.run, false, until - now});
}

void run_table::release_held_results(instant now)
{
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (now < it->second.until)
        {
            ++it;
            continue;
        }
        output_.results.push_back(std::move(it->second.result));
        output_.held.push_back({it->first, true, now - it->second.since});
        it = held_.erase(it);
    }
}

void run_table::give_up_lapsed(instant now)
{
    std::vector<task_run> over;
    for (const auto& [id, it] : runs_)
    {
        if (now > max_run_end(it))
            over.push_back(id);
    }
    for (const auto& id : over)
        give_up(id, give_up_reason::lease_over, now);
}

void run_table::decline(const task_run& id, failure_reason reason,
                        const std::string& detail, instant now)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const given_up_run refused{id, give_up_reason::refused,
                               now - found->second.ordered, duration::zero(),
                               now};
    given_up_.add(refused);
    output_.given_up.push_back(refused);
    finish(id, reason, effect::not_run, detail);
}

} // namespace lagoonquay
