#include "promises.hpp"

#include "lagoonquay/version/permit.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

std::string name_of(const task_key& key)
{
    return key.submission.text() + "/" + std::to_string(key.index.number());
}

} // namespace

promises::promises(std::uint32_t slots) : slots_(slots)
{
}

void promises::submitted(const job& work)
{
    jobs_.emplace(work->submission, work);
}

void promises::started(const seen_start& it)
{
    const auto starts = ++starts_[it.key];
    const auto work = jobs_.find(it.key.submission);
    const bool once = work == jobs_.end() || !work->second->idempotent;
    if (starts > 1 && once)
        note(name_of(it.key) + " started twice");
    const auto out = out_since_.find(domain_id(it.domain));
    if (out != out_since_.end() && it.when >= out->second + permit_duration)
        note(name_of(it.key) + " started in " + it.domain +
             " after it was taken out");
    check_not_run();
}

void promises::answered(const job_answer& answer)
{
    if (succeeded(answer))
        return check_complete(answer);
    if (!answer->results.empty())
        note(answer->submission.text() + ": a failed job shows results");
    if (answer->ran == effect::not_run)
        said_not_run_.insert(answer->submission);
    for (const auto& it : answer->failures)
    {
        if (it->ran == effect::not_run)
            tasks_said_not_run_.insert({answer->submission, it->index});
    }
    check_not_run();
}

void promises::taken_out(const domain_id& domain, instant when)
{
    out_since_.insert_or_assign(domain, when);
}

void promises::brought_back(const domain_id& domain)
{
    out_since_.erase(domain);
}

void promises::ran_at_once(std::uint32_t tasks)
{
    if (tasks > slots_)
        note("an upstream ran " + std::to_string(tasks) + " tasks at once");
}

std::size_t promises::starts_of(const submission_id& submission) const
{
    std::size_t total = 0;
    for (const auto& [key, starts] : starts_)
        total += key.submission == submission ? starts : 0;
    return total;
}

const std::vector<std::string>& promises::broken() const noexcept
{
    return broken_;
}

void promises::check_not_run()
{
    for (const auto& [key, starts] : starts_)
    {
        if (said_not_run_.contains(key.submission) ||
            tasks_said_not_run_.contains(key))
            note(name_of(key) + " ran, but a refusal said \"not run\"");
    }
}

void promises::check_complete(const job_answer& answer)
{
    const auto it = jobs_.find(answer->submission);
    if (it == jobs_.end())
        return note("an answer to an unknown job");
    const auto tasks = it->second->tasks.size();
    if (answer->results.size() != tasks)
        return note(answer->submission.text() + ": partial answer");
    for (std::size_t n = 0; n < tasks; ++n)
    {
        const task_key key{answer->submission, task_index(n)};
        if (answer->results[n]->body != expected_body(key))
            note(name_of(key) + ": not its own result");
    }
}

void promises::note(const std::string& text)
{
    if (std::find(broken_.begin(), broken_.end(), text) == broken_.end())
        broken_.push_back(text);
}

} // namespace lagoonquay
