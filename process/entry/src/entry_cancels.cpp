// Cancels by callers, at the entry that holds the job.
#include "entry_job.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

// Time between two messages that cancel the same job.
constexpr duration cancel_period = std::chrono::milliseconds(200);

void log_cancel(const submission_id& submission, std::string_view at,
                cancel_outcome outcome)
{
    constexpr std::string_view names[] = {"cancelled", "unknown",
                                          "unconfirmed"};
    write_event(
        log_level::info, part, submission, "cancel_asked",
        {{"at", at}, {"outcome", names[static_cast<std::size_t>(outcome)]}});
}

// An answer after which the caller may have sent the job to another entry.
bool may_run_elsewhere(const job_answer& answer)
{
    return !succeeded(answer) && answer->reason != failure_reason::cancelled &&
           answer->reason != failure_reason::upstream_failed;
}

} // namespace

// The caller is told of a cancel only by the entry that dispatches the job's
// tasks, so that the answer says what will happen. A job that was given up here
// may have been sent again to another entry since.
void entry_service::cancel(const submission_id& submission,
                           const cancel_callback& done)
{
    std::optional<job_answer> answer;
    std::string holder;
    const bool known = cancel_here(submission);
    if (const auto state = find(submission))
        with_job(state,
                 [&](const job_state& it)
                 {
                     answer = it.answer;
                     if (it.stage == job_stage::forwarded)
                         holder = it.holder_address;
                 });
    if (!known || (answer && may_run_elsewhere(*answer)))
        return cancel_at_holder(
            submission,
            known ? cancel_outcome::cancelled : cancel_outcome::unknown, done);
    if (!answer && !holder.empty())
        return cancel_at(holder, submission, done);
    log_cancel(submission, "here", cancel_outcome::cancelled);
    done(cancel_outcome::cancelled);
}

// Before the claim is granted, the holder of an earlier claim may have started
// any of the tasks. They are cancelled only once the claim is decided.
bool entry_service::cancel_here(const submission_id& submission)
{
    const auto state = find(submission);
    if (!state)
        return false;
    const auto now = hooks_.now();
    with_job(state,
             [&](job_state& it)
             {
                 it.cancelled = true;
                 it.cancel_sent = {};
                 if (it.stage != job_stage::running)
                     return;
                 for (const auto& index : it.run.waiting())
                     it.run.finish_waiting(index, failure_reason::cancelled,
                                           "cancelled by the caller",
                                           waiting_effect(it, now));
             });
    repeat_cancels(now);
    finish_if_complete(state);
    return true;
}

// The job may have come through another entry, whose channel to the caller is
// broken.
//! @param otherwise  the outcome if no other entry holds the job.
void entry_service::cancel_at_holder(const submission_id& submission,
                                     cancel_outcome otherwise,
                                     const cancel_callback& done)
{
    const claim_request lookup({.submission = submission,
                                .dated = options_.dated_jobs,
                                .holder = options_.id,
                                .holder_run = options_.run,
                                .holder_address = options_.address,
                                .lookup = true});
    hooks_.claim(
        lookup,
        [this, submission, otherwise, done](const claim_outcome& found)
        {
            const auto& holder = found->holder_address;
            const bool held = found->status == claim_status::held_by_other;
            if (held && holder != options_.address)
                return cancel_at(holder, submission, done);
            const bool none = held || found->status == claim_status::held;
            const auto outcome = none ? otherwise : cancel_outcome::unconfirmed;
            log_cancel(submission, to_text(found->status), outcome);
            done(outcome);
        });
}

void entry_service::cancel_at(const std::string& address,
                              const submission_id& submission,
                              const cancel_callback& done) const
{
    if (!hooks_.cancel)
        return done(cancel_outcome::unconfirmed);
    hooks_.cancel(address, submission,
                  [address, submission, done](cancel_outcome outcome)
                  {
                      log_cancel(submission, address, outcome);
                      done(outcome);
                  });
}

// A message is lost with its link, and a holder may not be reached at once; an
// agent that is asked again about a run that was cancelled goes on with it.
void entry_service::repeat_cancels(instant now)
{
    for (const auto& state : open_jobs())
    {
        std::vector<attempt_key> runs;
        std::string holder;
        with_job(state,
                 [&](job_state& it)
                 {
                     if (!it.cancelled || it.answer ||
                         now - it.cancel_sent < cancel_period)
                         return;
                     it.cancel_sent = now;
                     runs = it.run.dispatched();
                     if (it.stage == job_stage::forwarded)
                         holder = it.holder_address;
                 });
        for (const auto& key : runs)
            dispatcher_.agents().send(key.agent,
                                      cancel_message{state->id, key});
        if (!holder.empty())
            cancel_at(holder, state->id, [](cancel_outcome) {});
    }
}

} // namespace lagoonquay
