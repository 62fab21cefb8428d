#include "lagoonquay/process/agent_health.hpp"
#include "lagoonquay/process/agent_subset.hpp"
#include "lagoonquay/process/retry_budget.hpp"
#include "lagoonquay/process/run_times.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace lagoonquay
{

namespace
{

const instant start(std::chrono::seconds(100));
constexpr duration second = std::chrono::seconds(1);
constexpr std::uint32_t slots = 8;

agent_health ready_worker()
{
    agent_health health;
    health.set_accepting(true, start - 10 * second);
    return health;
}

TEST(agent_health,
     quarantines_after_few_failures_and_probes_with_one_task_later)
{
    const agent_health_options options;
    auto health = ready_worker();
    EXPECT_EQ(health.max_in_flight(options, slots, start), slots);
    health.record_failure(options, start);
    EXPECT_EQ(health.max_in_flight(options, slots, start), 4U);
    health.record_failure(options, start);
    health.record_failure(options, start);
    EXPECT_EQ(health.max_in_flight(options, slots, start), 0U);
    EXPECT_EQ(health.max_in_flight(options, slots, start + second), 1U);
    health.record_failure(options, start + second);
    EXPECT_EQ(health.max_in_flight(options, slots, start + 2 * second), 0U);
    EXPECT_EQ(health.max_in_flight(options, slots, start + 3 * second), 1U);
    health.record_success();
    EXPECT_EQ(health.max_in_flight(options, slots, start + 3 * second), slots);
}

TEST(agent_health, failures_between_successes_quarantine_nothing)
{
    const agent_health_options options;
    auto health = ready_worker();
    for (int n = 0; n < 20; ++n)
    {
        health.record_failure(options, start);
        health.record_failure(options, start);
        health.record_success();
    }
    EXPECT_EQ(health.max_in_flight(options, slots, start), slots);
}

TEST(agent_health, a_returning_worker_starts_slowly)
{
    const agent_health_options options{.ramp = second};
    agent_health health;
    EXPECT_EQ(health.max_in_flight(options, slots, start), 0U);
    health.set_accepting(true, start);
    EXPECT_EQ(health.max_in_flight(options, slots, start), 1U);
    EXPECT_EQ(health.max_in_flight(options, slots, start + second / 2), 5U);
    EXPECT_EQ(health.max_in_flight(options, slots, start + second), slots);
}

TEST(retry_budget, delays_grow_and_the_budget_is_exhausted)
{
    retry_budget budget({.burst = 4},
                        [](std::uint64_t) -> std::uint64_t { return 0; });
    const customer_id customer("a");
    EXPECT_EQ(budget.charge_move(customer, 1), duration::zero());
    EXPECT_EQ(budget.charge_move(customer, 2), std::chrono::milliseconds(10));
    EXPECT_EQ(budget.charge_move(customer, 4), std::chrono::milliseconds(40));
    EXPECT_EQ(budget.charge_move(customer, 60), second);
    EXPECT_EQ(budget.charge_move(customer, 1), second);
    for (int n = 0; n < 5; ++n)
        budget.add_for_dispatch(customer);
    EXPECT_EQ(budget.charge_move(customer, 1), duration::zero());
    EXPECT_EQ(budget.charge_move(customer_id("b"), 1), duration::zero());
}

TEST(run_times, corrects_a_wrong_declaration_by_measured_runs)
{
    run_times times;
    EXPECT_EQ(times.expect("k", 5 * second), 5 * second);
    for (int n = 0; n < 20; ++n)
        times.observe("k", second / 10);
    EXPECT_EQ(times.expect("k", 5 * second), second / 10);
}

TEST(run_times, keeps_a_bounded_number_of_kinds)
{
    run_times times({.max_kinds = 3});
    for (int n = 0; n < 10; ++n)
        times.observe(std::to_string(n), second);
    EXPECT_EQ(times.kinds(), 3U);
}

TEST(run_times, detects_a_kind_that_mostly_fails)
{
    run_times times;
    for (int n = 0; n < 5; ++n)
        times.observe_failure("bad");
    EXPECT_FALSE(times.mostly_fails("bad"));
    for (int n = 0; n < 5; ++n)
        times.observe_failure("bad");
    EXPECT_TRUE(times.mostly_fails("bad"));
}

std::vector<member> fleet_of(int n)
{
    std::vector<member> agents;
    for (; n > 0; --n)
        agents.push_back(
            member({.id = "agent" + std::to_string(n),
                    .domain = domain_id("d" + std::to_string(n % 9))}));
    return agents;
}

std::set<std::string> ids_of(const std::vector<member>& agents)
{
    std::set<std::string> ids;
    for (const auto& it : agents)
        ids.insert(it->id);
    return ids;
}

TEST(agent_subset, contains_every_agent_of_a_small_fleet)
{
    EXPECT_EQ(agent_subset(entry_id("e"), fleet_of(11), 128), fleet_of(11));
}

TEST(agent_subset, its_size_covers_every_agent_several_times)
{
    EXPECT_EQ(subset_size(11, 4, 128), 24U);
    EXPECT_EQ(subset_size(240, 55, 128), 24U);
    EXPECT_EQ(subset_size(240, 12, 128), 80U);
    EXPECT_EQ(subset_size(240, 1, 128), 128U);
    EXPECT_EQ(subset_size(240, 0, 16), 16U);
}

TEST(agent_subset, spreads_over_domains_and_covers_every_agent)
{
    const auto fleet = fleet_of(900);
    std::map<std::string, int> covered;
    for (int n = 0; n < 64; ++n)
    {
        std::map<domain_id, int> per_domain;
        for (const auto& it :
             agent_subset(entry_id("e" + std::to_string(n)), fleet, 126))
        {
            ++covered[it->id];
            ++per_domain[it->domain];
        }
        for (const auto& [domain, agents] : per_domain)
            EXPECT_EQ(agents, 14);
    }
    EXPECT_EQ(covered.size(), fleet.size());
}

TEST(agent_subset, moves_few_links_when_an_agent_leaves)
{
    auto fleet = fleet_of(900);
    const auto before = ids_of(agent_subset(entry_id("e"), fleet, 126));
    std::erase_if(fleet,
                  [&](const auto& it) { return it->id == *before.begin(); });
    const auto after = ids_of(agent_subset(entry_id("e"), fleet, 126));
    std::vector<std::string> fresh;
    std::set_difference(after.begin(), after.end(), before.begin(),
                        before.end(), std::back_inserter(fresh));
    EXPECT_EQ(fresh.size(), 1U);
}

TEST(agent_health, a_slow_worker_gets_one_task_at_a_time_until_it_is_fast_again)
{
    agent_health health;
    const agent_health_options options;
    const instant began(std::chrono::seconds(1));
    const auto later = began + std::chrono::seconds(10);
    health.set_accepting(true, began);
    health.record_run_ratio(6.5);
    EXPECT_EQ(health.max_in_flight(options, 8, later), 8U);
    health.record_run_ratio(6.5);
    health.record_run_ratio(6.5);
    EXPECT_EQ(health.max_in_flight(options, 8, later), 1U);
    for (int n = 0; n < 5; ++n)
        health.record_run_ratio(1);
    EXPECT_EQ(health.max_in_flight(options, 8, later), 8U);
}

} // namespace

} // namespace lagoonquay
