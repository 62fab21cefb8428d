#include "lagoonquay/load/job_runner.hpp"

#include <algorithm>

namespace lagoonquay::load
{

namespace
{

bool says_not_run(const std::optional<job_answer>& answer)
{
    return answer && !succeeded(*answer) && (*answer)->ran == effect::not_run;
}

std::string describe(const std::optional<job_answer>& answer)
{
    if (!answer)
        return "no answer";
    if (succeeded(*answer))
        return {};
    return std::string(to_text((*answer)->reason)) + ", " +
           std::string(to_text((*answer)->ran)) + ": " + (*answer)->detail;
}

std::size_t requests_of(const std::vector<planned_job>& plan)
{
    std::size_t n = 0;
    for (const auto& it : plan)
        n += it->resubmit_after ? 2 : 1;
    return n;
}

} // namespace

job_runner::job_runner(std::vector<planned_job> plan, std::size_t entries,
                       runner_hooks hooks)
    : plan_(std::move(plan)), entries_(std::max<std::size_t>(entries, 1)),
      hooks_(std::move(hooks)), expected_(requests_of(plan_))
{
}

void job_runner::start()
{
    started_ = hooks_.now();
    for (const auto& it : plan_)
        hooks_.after(it->at, [this, &it] { send(it, started_ + it->at); });
}

void job_runner::wait()
{
    std::unique_lock lock(done_mutex_);
    done_.wait(lock, [this] { return answered_ >= expected_; });
}

std::size_t job_runner::sent() const noexcept
{
    return sent_;
}

std::size_t job_runner::answered() const noexcept
{
    return answered_;
}

std::vector<job_outcome> job_runner::outcomes()
{
    std::vector<job_outcome> found;
    found.reserve(plan_.size());
    for (const auto& it : plan_)
        found.push_back(judge_record(it));
    return found;
}

// The creation time is the scheduled one, and a resubmission repeats it.
void job_runner::send(const planned_job& planned, instant scheduled)
{
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
        hooks_.now() - scheduled);
    const auto created = hooks_.wall() - late;
    const auto work =
        planned->work.with([&](job_options& it) { it.created = created; });
    submit(planned, work, planned->entry);
    if (planned->cancel_after)
        hooks_.after(
            *planned->cancel_after, [this, &planned]
            { hooks_.cancel(planned->entry, planned->work->submission); });
    if (!planned->resubmit_after)
        return;
    hooks_.after(*planned->resubmit_after, [this, &planned, work]
                 { submit(planned, work, (planned->entry + 1) % entries_); });
}

void job_runner::submit(const planned_job& planned, const job& work,
                        std::size_t entry)
{
    ++sent_;
    hooks_.submit(entry, work,
                  [this, id = planned->work->submission](
                      const std::optional<job_answer>& answer)
                  { on_answer(id, answer); });
}

void job_runner::on_answer(const submission_id& id,
                           const std::optional<job_answer>& answer)
{
    const auto now = hooks_.now();
    records_.with_shard(id,
                        [&](auto& values)
                        {
                            auto& it = values[id];
                            if (answer && !it.first_answer)
                                it.first_answer = now;
                            it.answers.push_back(answer);
                        });
    const std::lock_guard lock(done_mutex_);
    ++answered_;
    done_.notify_all();
}

// The first readable answer counts; a later one must say the same.
job_outcome job_runner::judge_record(const planned_job& planned)
{
    job_outcome outcome;
    outcome.planned = planned;
    const auto found = records_.with(planned->work->submission, [](record* it)
                                     { return it ? *it : record(); });
    if (found.first_answer)
        outcome.response = *found.first_answer - (started_ + planned->at);
    std::vector<verdict> verdicts;
    for (const auto& it : found.answers)
        verdicts.push_back(judge(planned, it));
    if (verdicts.empty())
        return outcome;
    outcome.judged = *std::min_element(verdicts.begin(), verdicts.end());
    outcome.failure = describe(found.answers.back());
    outcome.claims_not_run =
        std::any_of(found.answers.begin(), found.answers.end(), says_not_run);
    if (std::count(verdicts.begin(), verdicts.end(), verdict::wrong) > 0)
        outcome.judged = verdict::wrong;
    if (verdicts.size() < 2)
        return outcome;
    outcome.resubmission = verdicts.back();
    const auto& first = found.answers.front();
    const auto& second = found.answers.back();
    outcome.contradictory = first && second && *first != *second;
    return outcome;
}

} // namespace lagoonquay::load
