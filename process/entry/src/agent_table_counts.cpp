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
