// Sums over all agents of the table.
#include "lagoonquay/process/agent_table.hpp"

namespace lagoonquay
{

std::size_t agent_table::suspect_count()
{
    std::size_t n = 0;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
                n += it.health.is_suspect() ? 1 : 0;
        });
    return n;
}

bool agent_table::knows(const agent_id& agent)
{
    return agents_.with(agent, [](const entry* it) { return it != nullptr; });
}

bool agent_table::has_drained(const agent_id& agent, incarnation run)
{
    return agents_.with(agent, [&](const entry* it)
                        { return it != nullptr && it->drained_run == run; });
}

void agent_table::note_late_run_time(duration told) noexcept
{
    auto longest = late_run_time_.load();
    while (longest < told.count() &&
           !late_run_time_.compare_exchange_weak(longest, told.count()))
    {
    }
}

std::optional<duration> agent_table::late_run_time() const noexcept
{
    const auto longest = late_run_time_.load();
    return longest < 0 ? std::nullopt : std::optional(duration(longest));
}

bool agent_table::no_stray_runs()
{
    bool known = false;
    bool stray = false;
    agents_.for_each_shard(
        [&](const auto& values)
        {
            for (const auto& [id, it] : values)
            {
                known = true;
                stray = stray || !it.has_no_stray_runs;
            }
        });
    return known && !stray;
}

} // namespace lagoonquay
