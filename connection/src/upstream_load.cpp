#include "lagoonquay/connection/upstream_load.hpp"

#include "lagoonquay/connection/upstream.hpp"

namespace lagoonquay
{

void upstream_load::begin(incarnation agent_run)
{
    const std::lock_guard lock(mutex_);
    last_run_ = agent_run;
    ++running_[agent_run];
}

void upstream_load::end(incarnation agent_run)
{
    const std::lock_guard lock(mutex_);
    const auto it = running_.find(agent_run);
    if (it == running_.end())
        return;
    if (--it->second == 0)
        running_.erase(it);
}

void upstream_load::describe(upstream_announcement& target) const
{
    const std::lock_guard lock(mutex_);
    target.running = 0;
    target.running_of_run = 0;
    target.agent_run = last_run_;
    for (const auto& [agent_run, count] : running_)
    {
        target.running += count;
        if (agent_run == last_run_)
            target.running_of_run = count;
    }
}

std::uint32_t upstream_load::running() const
{
    upstream_announcement counts;
    describe(counts);
    return counts.running;
}

} // namespace lagoonquay
