#include "lagoonquay/request/start_guard.hpp"

#include <algorithm>

namespace lagoonquay
{

start_guard::start_guard(start_guard_options options) : options_(options)
{
}

// The checks run from the cheapest to the one that writes, and the record is
// written before the caller may call the upstream.
start_verdict start_guard::try_start(const dispatch_message& dispatch,
                                     instant now)
{
    if (dispatch.key.agent_run != options_.agent_run)
        return start_verdict::wrong_agent_run;
    if (now >= dispatch.start_before)
        return start_verdict::claim_expired;
    const task_key key{dispatch.submission, dispatch.key.index};
    const auto it = records_.find(key);
    if (it != records_.end())
    {
        if (const auto refused = refuse(it->second, dispatch))
            return *refused;
    }
    auto& fresh = records_[key];
    fresh.started = true;
    fresh.attempt = dispatch.key.attempt;
    fresh.touched = now;
    fresh.result.reset();
    return start_verdict::start;
}

bool start_guard::forbid(const task_key& key, attempt_number last, instant now)
{
    auto& it = records_[key];
    it.forbidden = std::max(it.forbidden, last);
    it.touched = now;
    return !it.started;
}

status_item start_guard::query(const task_key& key, attempt_number last,
                               instant now)
{
    status_item found;
    found.index = key.index;
    found.attempt = last;
    found.forbidden = last;
    if (forbid(key, last, now))
        return found;
    const auto& it = records_.at(key);
    found.attempt = it.attempt;
    found.state = it.result ? start_state::finished : start_state::running;
    if (it.result)
        found.result = *it.result;
    return found;
}

// A late result of an earlier attempt must not stand for the one that runs.
bool start_guard::finish(const task_key& key, attempt_number attempt,
                         const task_result& result, instant now)
{
    const auto it = records_.find(key);
    if (it == records_.end() || it->second.attempt != attempt)
        return false;
    it->second.result = result;
    it->second.touched = now;
    return true;
}

std::optional<task_result> start_guard::result_of(const task_key& key) const
{
    const auto it = records_.find(key);
    if (it == records_.end())
        return std::nullopt;
    return it->second.result;
}

bool start_guard::started(const task_key& key) const noexcept
{
    const auto it = records_.find(key);
    return it != records_.end() && it->second.started;
}

std::optional<attempt_number>
start_guard::started_attempt(const task_key& key) const noexcept
{
    const auto it = records_.find(key);
    if (it == records_.end() || !it->second.started)
        return std::nullopt;
    return it->second.attempt;
}

void start_guard::expire(instant now)
{
    std::erase_if(records_,
                  [&](const auto& it)
                  {
                      const auto& each = it.second;
                      const bool runs = each.started && !each.result;
                      return !runs && now - each.touched > options_.retention;
                  });
}

// Attempt numbers of a later claim are larger than all of an earlier one, so
// one number orders the attempts of every entry.
std::optional<start_verdict>
start_guard::refuse(const record& earlier,
                    const dispatch_message& dispatch) noexcept
{
    if (dispatch.key.attempt <= earlier.forbidden)
        return start_verdict::fenced;
    const bool later = earlier.attempt < dispatch.key.attempt;
    const bool again = later && dispatch.repeatable && earlier.result;
    if (earlier.started && !again)
        return start_verdict::duplicate;
    return std::nullopt;
}

std::size_t start_guard::size() const noexcept
{
    return records_.size();
}

} // namespace lagoonquay
