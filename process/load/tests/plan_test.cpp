#include "lagoonquay/load/plan.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

experiment busy()
{
    experiment_options it;
    it.name = "busy";
    it.arrivals.length = std::chrono::minutes(10);
    it.arrivals.jobs_per_minute = 300;
    it.arrivals.tail_permille = 20;
    return experiment(it);
}

bool is_large(const planned_job& it)
{
    return it->work->customer == customer_id("large");
}

TEST(plan, repeats_for_the_same_seed_and_differs_for_another)
{
    const auto other = busy().with([](auto& it) { it.seed = 2; });
    EXPECT_EQ(make_plan(busy(), "r"), make_plan(busy(), "r"));
    EXPECT_NE(make_plan(busy(), "r"), make_plan(other, "r"));
}

TEST(plan, keeps_to_the_rate_the_sizes_and_the_large_customer)
{
    const auto plan = make_plan(busy(), "r");
    EXPECT_NEAR(static_cast<double>(plan.size()), 3000, 200);
    const auto large = std::count_if(plan.begin(), plan.end(), is_large);
    EXPECT_GT(large, static_cast<std::ptrdiff_t>(plan.size() / 2));
    std::size_t longest = 0;
    for (const auto& it : plan)
    {
        longest = std::max(longest, it->work->tasks.size());
        EXPECT_GE(it->longest_task, std::chrono::milliseconds(50));
        EXPECT_LE(it->longest_task, std::chrono::seconds(6));
        EXPECT_GE(it->total_work, it->longest_task);
    }
    EXPECT_GT(longest, 200U);
    EXPECT_LE(longest, 230U);
}

TEST(plan, arrives_more_often_in_a_burst)
{
    const auto bursts =
        busy().with([](auto& it) { it.arrivals.burst_factor = 5; });
    std::size_t inside = 0;
    std::size_t outside = 0;
    for (const auto& it : make_plan(bursts, "r"))
    {
        const bool burst =
            it->at % std::chrono::seconds(10) < std::chrono::seconds(1);
        ++(burst ? inside : outside);
    }
    // One second of ten at five times the rate: 5 to 9.
    const auto ratio =
        static_cast<double>(inside) / static_cast<double>(outside);
    EXPECT_NEAR(ratio, 5.0 / 9, 0.1);
}

TEST(plan, plans_every_kind_of_trouble)
{
    const auto trouble = busy().with(
        [](auto& it)
        {
            it.trouble.impossible = 200;
            it.trouble.failing = 200;
            it.trouble.resubmitted = 500;
            it.trouble.cancel_at = std::chrono::minutes(1);
            it.trouble.cancel_length = std::chrono::minutes(1);
            it.trouble.cancel_share = 1000;
        });
    std::map<expectation, int> kinds;
    int resubmitted = 0;
    for (const auto& it : make_plan(trouble, "r"))
    {
        ++kinds[it->expected];
        resubmitted += it->resubmit_after ? 1 : 0;
        const bool wave = it->at >= std::chrono::minutes(1) &&
                          it->at < std::chrono::minutes(2);
        EXPECT_EQ(it->cancel_after.has_value(),
                  wave && it->expected == expectation::cancelled);
    }
    EXPECT_EQ(kinds.size(), 4U);
    EXPECT_NEAR(resubmitted, 1500, 150);
}

TEST(plan, ideal_is_bounded_by_the_longest_task_and_by_the_slots)
{
    using std::chrono::milliseconds;
    const planned_job wide(
        {.longest_task = milliseconds(100), .total_work = milliseconds(1600)});
    EXPECT_EQ(ideal_response(wide, milliseconds(3), 8), milliseconds(203));
    EXPECT_EQ(ideal_response(wide, milliseconds(3), 88), milliseconds(103));
}

} // namespace

} // namespace lagoonquay::load
