#include "run_events.hpp"

#include "lagoonquay/process/decision_log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "lease";

log_field task_of(const task_run& run)
{
    return {"task", static_cast<std::int64_t>(run.index.number())};
}

log_field attempt_of(const task_run& run)
{
    return {"attempt", static_cast<std::int64_t>(run.attempt.number())};
}

log_field fence_field(fencing_token fence)
{
    return {"fence", static_cast<std::int64_t>(fence.number())};
}

} // namespace

std::string_view to_text(stop_cause cause) noexcept
{
    switch (cause)
    {
    case stop_cause::asked:
        return "asked";
    case stop_cause::unanswered:
        return "unanswered";
    case stop_cause::no_progress:
        return "no_progress";
    case stop_cause::next_life:
        return "next_life";
    case stop_cause::unknown_run:
        return "unknown_run";
    }
    return {};
}

void log_event(const given_up_run& it)
{
    write_event(log_level::warning, part, it.run.submission, "run_given_up",
                {task_of(it.run),
                 attempt_of(it.run),
                 {"reason", to_text(it.reason)},
                 {"age_ms", milliseconds_of(it.age)},
                 {"list_age_ms", milliseconds_of(it.list_age)}});
}

void log_event(const unanswered_start& it)
{
    write_event(log_level::info, part, it.run.submission, "start_unanswered",
                {task_of(it.run),
                 attempt_of(it.run),
                 {"age_ms", milliseconds_of(it.age)},
                 {"next_life", it.is_next_life ? "yes" : "no"}});
}

void log_event(const held_start& it)
{
    write_event(
        log_level::info, part, it.run.submission,
        it.is_over ? "start_hold_ended" : "start_held",
        {task_of(it.run),
         attempt_of(it.run),
         {it.is_over ? "held_ms" : "up_to_ms", milliseconds_of(it.span)}});
}

void log_event(const resurfaced_run& it)
{
    const auto& run = it.run.run;
    write_event(log_level::error, part, run.submission, "run_resurfaced",
                {task_of(run),
                 attempt_of(run),
                 {"given_up_as", to_text(it.run.reason)},
                 {"after_ms", milliseconds_of(it.after)},
                 {"runs", it.is_running ? "yes" : "ended"}});
}

void log_event(const stopped_run& it)
{
    write_event(log_level::info, part, it.run.submission, "run_stopped",
                {task_of(it.run),
                 attempt_of(it.run),
                 {"cause", to_text(it.cause)},
                 fence_field(it.fence),
                 {"list_age_ms", milliseconds_of(it.list_age)}});
}

void log_event(const begun_life& it)
{
    write_event(log_level::info, part, {}, "worker_life",
                {{"worker", it.worker.id},
                 {"life", static_cast<std::int64_t>(it.worker.life.number())},
                 {"worker_clock_ms", std::int64_t{it.clock.count()}},
                 fence_field(it.fence),
                 {"ended", static_cast<std::int64_t>(it.ended)},
                 {"unresolved", static_cast<std::int64_t>(it.unresolved)}});
}

} // namespace lagoonquay
