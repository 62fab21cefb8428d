#include "lagoonquay/request/job_run.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

std::string describe(const task_result& result)
{
    return "task " + std::to_string(result->index.number()) + ": " +
           std::string(to_text(result->reason)) + ": " + result->detail;
}

// Partial results of a failed job are never shown as its answer.
job_answer failed_answer(const submission_id& submission,
                         std::vector<task_result> failures, effect ran)
{
    const auto first = failures.front();
    return job_answer({.submission = submission,
                       .reason = first->reason,
                       .ran = ran,
                       .detail = describe(first),
                       .results = {},
                       .failures = std::move(failures)});
}

} // namespace

job_run::job_run(job submitted, attempt_number base)
    : job_(std::move(submitted)), base_(base), slots_(job_->tasks.size())
{
}

void job_run::set_base(attempt_number base) noexcept
{
    base_ = base;
}

const job& job_run::submitted() const noexcept
{
    return job_;
}

attempt_key job_run::dispatch(task_index index, const agent_id& agent,
                              incarnation agent_run, const attempt_start& start)
{
    auto& target = slots_.at(index.number());
    const auto earlier = std::max(base_, target.last);
    target.last = attempt_number(earlier.number() + 1);
    target.phase = task_phase::dispatched;
    target.key = {.index = index,
                  .attempt = target.last,
                  .agent = agent,
                  .agent_run = agent_run};
    target.start = start;
    target.is_held = false;
    return target.key;
}

void job_run::note_begun(const attempt_key& key)
{
    if (find(key) != nullptr)
        slots_[key.index.number()].start.answer = start_answer::begun;
}

bool job_run::may_run_late(const attempt_key& key, instant now) const noexcept
{
    const auto* it = find(key);
    return it != nullptr && it->start.answer == start_answer::unanswered &&
           now < it->start.last_end;
}

std::optional<instant> job_run::note_held(const attempt_key& key)
{
    if (find(key) == nullptr)
        return std::nullopt;
    auto& target = slots_[key.index.number()];
    if (std::exchange(target.is_held, true))
        return std::nullopt;
    return target.start.last_end;
}

bool job_run::record(const attempt_key& key, const task_result& result)
{
    if (find(key) == nullptr)
        return false;
    finish(slots_[key.index.number()], result);
    return true;
}

bool job_run::requeue(const attempt_key& key)
{
    if (find(key) == nullptr)
        return false;
    auto& target = slots_[key.index.number()];
    target.phase = task_phase::waiting;
    target.ended.push_back(key.attempt);
    return true;
}

bool job_run::retry(const attempt_key& key, attempt_end how)
{
    if (!requeue(key))
        return false;
    if (how == attempt_end::lost)
        slots_[key.index.number()].ended.pop_back();
    doubt(key.index);
    return true;
}

bool job_run::retry_failed(const attempt_key& key)
{
    if (find(key) == nullptr)
        return false;
    auto& target = slots_[key.index.number()];
    if (target.failures + 1 >= job_->attempts)
        return false;
    ++target.failures;
    return retry(key, attempt_end::reported);
}

void job_run::doubt(task_index index)
{
    slots_.at(index.number()).may_have_run = true;
}

// An agent may name an earlier attempt than the current one: of an idempotent
// task, an earlier attempt may be the one that started there. It may stand for
// the current one only on proof that the current one can't start there any
// more, or both would run. While the task waits, there is no current one. An
// attempt whose end was reported before is over, whatever is told of it again.
report_outcome job_run::take_report(const attempt_report& report)
{
    const auto& reported = report.reported;
    if (reported.index.number() >= slots_.size())
        return report_outcome::unchanged;
    auto& target = slots_[reported.index.number()];
    if (target.phase == task_phase::finished)
        return report_outcome::unchanged;
    if (report.started && find(reported) != nullptr)
    {
        if (report.start.answer == start_answer::begun)
            note_begun(reported);
        return report_outcome::confirmed;
    }
    const bool over = !report.started || has_ended(target, reported.attempt);
    if (target.phase == task_phase::waiting)
        return over ? report_outcome::unchanged : adopt(target, report);
    if (target.key.agent != reported.agent ||
        target.key.agent_run != reported.agent_run)
        return report_outcome::unchanged;
    const bool fenced = covers(report, target);
    if (over && fenced)
    {
        requeue(target.key);
        return report_outcome::waits_again;
    }
    const bool later = reported.attempt > target.key.attempt;
    if (!over && (fenced || later))
        return adopt(target, report);
    return report.started && !later ? report_outcome::ignored
                                    : report_outcome::unchanged;
}

void job_run::abandon(failure_reason reason, const std::string& detail,
                      effect waiting_effect)
{
    std::uint64_t n = 0;
    for (auto& it : slots_)
    {
        const task_index index(n++);
        if (it.phase == task_phase::finished)
            continue;
        const bool waiting = it.phase == task_phase::waiting;
        finish(it,
               task_result({.index = index,
                            .reason = reason,
                            .ran = waiting ? waiting_effect : effect::unknown,
                            .body = {},
                            .detail = detail}));
    }
}

bool job_run::finish_waiting(task_index index, failure_reason reason,
                             const std::string& detail, effect known)
{
    auto& target = slots_.at(index.number());
    if (target.phase != task_phase::waiting)
        return false;
    finish(target, task_result({.index = index,
                                .reason = reason,
                                .ran = known,
                                .body = {},
                                .detail = detail}));
    return true;
}

attempt_key job_run::current(task_index index) const
{
    if (index.number() >= slots_.size())
        return {};
    return slots_[index.number()].key;
}

std::vector<attempt_key> job_run::dispatched() const
{
    std::vector<attempt_key> keys;
    for (const auto& it : slots_)
    {
        if (it.phase != task_phase::dispatched)
            continue;
        keys.push_back(it.key);
    }
    return keys;
}

std::vector<task_index> job_run::waiting() const
{
    std::vector<task_index> indexes;
    std::uint64_t n = 0;
    for (const auto& it : slots_)
    {
        const task_index index(n++);
        if (it.phase != task_phase::waiting)
            continue;
        indexes.push_back(index);
    }
    return indexes;
}

bool job_run::is_waiting(task_index index) const noexcept
{
    return index.number() < slots_.size() &&
           slots_[index.number()].phase == task_phase::waiting;
}

bool job_run::untouched() const noexcept
{
    return std::all_of(slots_.begin(), slots_.end(),
                       [](const slot& it) {
                           return it.phase == task_phase::waiting &&
                                  !it.may_have_run;
                       });
}

std::size_t job_run::finished_count() const noexcept
{
    return finished_;
}

bool job_run::finished() const noexcept
{
    return finished_ == slots_.size();
}

std::optional<job_answer> job_run::answer() const
{
    if (!finished())
        return std::nullopt;
    std::vector<task_result> results;
    std::vector<task_result> failures;
    effect ran = effect::not_run;
    for (const auto& it : slots_)
    {
        ran = std::max(ran, it.result->ran);
        results.push_back(it.result);
        if (succeeded(it.result))
            continue;
        failures.push_back(it.result);
    }
    if (!failures.empty())
        return failed_answer(job_->submission, std::move(failures), ran);
    return job_answer({.submission = job_->submission,
                       .reason = failure_reason::none,
                       .ran = ran,
                       .detail = {},
                       .results = std::move(results),
                       .failures = {}});
}

const job_run::slot* job_run::find(const attempt_key& key) const noexcept
{
    if (key.index.number() >= slots_.size())
        return nullptr;
    const auto& target = slots_[key.index.number()];
    const bool current =
        target.phase == task_phase::dispatched && target.key == key;
    return current ? &target : nullptr;
}

bool job_run::has_ended(const slot& target, attempt_number attempt)
{
    return std::find(target.ended.begin(), target.ended.end(), attempt) !=
           target.ended.end();
}

// @return whether the report proves that the current attempt never starts.
bool job_run::covers(const attempt_report& report, const slot& target)
{
    const auto current = target.key.attempt;
    return current <= report.forbidden &&
           (!report.started || report.reported.attempt < current);
}

report_outcome job_run::adopt(slot& target, const attempt_report& report)
{
    target.phase = task_phase::dispatched;
    target.key = report.reported;
    target.start = report.start;
    target.is_held = false;
    target.last = std::max(target.last, report.reported.attempt);
    return report_outcome::adopted;
}

void job_run::finish(slot& target, task_result result)
{
    target.phase = task_phase::finished;
    target.result = std::move(result);
    if (target.may_have_run && target.result->ran == effect::not_run)
        target.result = target.result.with([](task_result_options& it)
                                           { it.ran = effect::unknown; });
    ++finished_;
}

} // namespace lagoonquay
