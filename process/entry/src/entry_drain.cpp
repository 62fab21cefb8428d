#include "entry_drain.hpp"

#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/process/program.hpp"

#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";
//! Between two reports of what a stop waits for.
constexpr duration report_period = std::chrono::seconds(1);
constexpr std::size_t max_reported_jobs = 10;

std::int64_t count(std::size_t number) noexcept
{
    return static_cast<std::int64_t>(number);
}

// What a peer waits for here is a job, or is answered at once: of the latter
// only the writing may be left, which depends on the peer alone.
bool is_idle(const stopping_entry& it)
{
    return it.service.unanswered() == 0 &&
           it.callers.requests_in_progress() == 0;
}

void log_job_in_work(const unanswered_job& it)
{
    write_event(
        log_level::info, part, it.submission, "stop_waits_for",
        {{"stage", it.stage},
         {"age_ms", milliseconds_of(it.age)},
         {"accepted_after_signal_ms", milliseconds_of(it.accepted_after_stop)},
         {"left_ms", milliseconds_of(it.time_left)},
         {"at_agents", count(it.dispatched)},
         {"waiters", count(it.waiters)}});
}

void log_what_is_in_work(const stopping_entry& it)
{
    write_event(
        log_level::info, part, {}, "stop_waits",
        {{"jobs", count(it.service.unanswered())},
         {"longest_left_ms", milliseconds_of(it.service.longest_time_left())},
         {"caller_requests", count(it.callers.requests_in_progress())},
         {"peer_requests", count(it.peers.requests_in_progress())}});
    for (const auto& job : it.service.unanswered_jobs(max_reported_jobs))
        log_job_in_work(job);
}

//! @param end  when to give up, if ever.
void wait_until_idle(const stopping_entry& it, std::optional<instant> end)
{
    std::optional<instant> reported;
    wait_until(
        [&]
        {
            const auto now = steady_now();
            if (is_idle(it) || (end && now >= *end))
                return true;
            if (!reported || now - *reported >= report_period)
            {
                reported = now;
                log_what_is_in_work(it);
            }
            return false;
        });
}

// The peers' listener accepts to the end: a refused connection proves that a
// replica has ended.
bool is_quiet(const stopping_entry& it)
{
    return it.service.unanswered() == 0 && it.callers.is_quiet() &&
           it.peers.requests_in_progress() == 0;
}

// A request that is arriving is read and answered, and a new connection is
// refused, so that its sender knows that nothing was read. A job may have been
// taken beside the last answers, so two looks have to agree.
void close_callers(const stopping_entry& it, const stop_plan& plan)
{
    const bool bounded = plan.end != duration();
    const auto end = steady_now() + plan.close_time;
    bool was_quiet = false;
    it.callers.stop_accepting();
    wait_until(
        [&]
        {
            if (bounded && it.service.unanswered() > 0)
                it.service.answer_rest();
            it.callers.close_idle();
            const bool quiet = is_quiet(it);
            const bool over = steady_now() >= end &&
                              (bounded || it.service.unanswered() == 0);
            return (std::exchange(was_quiet, quiet) && quiet) || over;
        });
}

void log_end(const stopping_entry& it)
{
    write_event(log_level::info, part, {}, "stop_ended",
                {{"open_connections", count(it.callers.open_connections())},
                 {"arriving", count(it.callers.requests_arriving())},
                 {"caller_requests", count(it.callers.requests_in_progress())},
                 {"peer_requests", count(it.peers.requests_in_progress())}});
}

} // namespace

void drain_entry(const stopping_entry& entry, const stop_plan& plan)
{
    write_log(log_level::info, part, "Stopping: no longer ready.");
    const auto signal_at = steady_now();
    const auto passed = [&](duration span)
    {
        return steady_now() - signal_at >= span;
    };
    entry.service.mark_not_ready(plan);
    entry.callers.close_after_responses();
    wait_until([&] { return passed(plan.notice); });
    if (plan.job_end > plan.notice)
        write_log(log_level::info, part,
                  "Stopping: only jobs that end by drain_job_end.");
    wait_until([&] { return passed(plan.job_end) || is_idle(entry); });
    write_log(log_level::info, part, "Stopping: no new jobs.");
    entry.service.drain();
    if (plan.end == duration())
        wait_until_idle(entry, std::nullopt);
    else
    {
        wait_until_idle(entry, signal_at + plan.end);
        entry.service.answer_rest();
    }
    close_callers(entry, plan);
    log_end(entry);
    write_log(log_level::info, part, "Stopped.");
}

} // namespace lagoonquay
