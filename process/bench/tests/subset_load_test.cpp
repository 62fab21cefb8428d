// Load of a fleet whose entries link to a part of the agents.
#include "subset_bench.hpp"

#include "lagoonquay/process/agent_subset.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr std::uint32_t max_agents = 128;

subset_run fleet_of(std::uint32_t entries, std::uint32_t agents)
{
    return {.entries = entries,
            .agents = agents,
            .subset = static_cast<std::uint32_t>(
                subset_size(agents, entries, max_agents)),
            .length = std::chrono::seconds(4)};
}

// Regression: in a fleet of 240 workers each entry linked to 128 of them, and
// what it knew of a worker was older than the tasks there. Full workers handed
// most tasks back, until the entries were busy with nothing else.
TEST(subset_load, work_per_task_does_not_grow_with_the_fleet)
{
    constexpr double tolerance = 0.01; // messages per task
    const auto small = run_subset(fleet_of(6, 24));
    const auto large = run_subset(fleet_of(55, 240));
    EXPECT_GT(large.waits.size(), 5 * small.waits.size());
    EXPECT_EQ(large.refused, 0U);
    EXPECT_LE(large.moves_per_task, small.moves_per_task + tolerance);
    EXPECT_LE(large.grants_per_task, small.grants_per_task + tolerance);
}

TEST(subset_load, all_workers_of_a_fleet_with_few_entries_are_used)
{
    const auto few = run_subset(fleet_of(3, 96));
    EXPECT_EQ(few.refused, 0U);
    EXPECT_LT(few.waits[few.waits.size() / 2], 1);
}

} // namespace

} // namespace lagoonquay
