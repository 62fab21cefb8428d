// Single orders of the runs under a worker's lease.
#include "leased_run_table.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

TEST_F(leased_run_table, a_run_ends_with_the_end_that_the_worker_lists)
{
    const auto order = start(0);
    EXPECT_EQ(order.lease_end,
              worker_time(5000) + std::chrono::duration_cast<worker_time>(
                                      leased_runs_options().lease));
    answer(order, order_result::accepted);
    report(*last_order, {}, {{1, run(0), run_end::done}});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_TRUE(succeeded(results[0]));
    now += milliseconds(30);
    table.tick(now);
    take();
    EXPECT_EQ(last_order->order.seen, 1U);
}

// The answer to the waiting order may be lost, and with it the extension of the
// lease.
TEST_F(leased_run_table, an_overdue_report_is_requested_and_extends_the_lease)
{
    const auto order = start(0);
    answer(order, order_result::accepted);
    take();
    now += leased_runs_options().report_timeout + milliseconds(1);
    table.tick(now);
    const auto asked = take().extensions;
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].order.wait, duration::zero());
    ASSERT_TRUE(asked[0].order.lease_end);
    EXPECT_GT(*asked[0].order.lease_end, order.lease_end);
}

TEST_F(leased_run_table, an_end_that_is_listed_twice_counts_once)
{
    const auto order = start(0);
    answer(order, order_result::accepted);
    const auto asked = *last_order;
    report(asked, {}, {{1, run(0), run_end::failed}});
    report(asked, {}, {{1, run(0), run_end::failed}});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->reason, failure_reason::upstream_failed);
    EXPECT_EQ(results[0]->ran, effect::ran);
}

TEST_F(leased_run_table, an_unanswered_start_that_is_listed_is_kept)
{
    const auto order = start(0);
    now += milliseconds(250);
    answer(order, order_result::unknown);
    report(*last_order, {{run(0), 0}}, {});
    take();
    EXPECT_TRUE(stops.empty());
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(leased_run_table, an_unlisted_start_is_stopped_before_its_result)
{
    const auto order = start(0);
    now += milliseconds(250);
    answer(order, order_result::unknown);
    report(*last_order, {}, {});
    take();
    ASSERT_EQ(stops, std::vector<task_run>{run(0)});
    EXPECT_TRUE(results.empty());
    now += milliseconds(30);
    table.on_stop(life, {run(0), {}}, {order_result::accepted, clock()}, now);
    take();
    EXPECT_TRUE(results.empty());
    report(*last_order, {}, {});
    take();
    EXPECT_TRUE(results.empty());
    now += milliseconds(80);
    table.tick(now);
    take();
    report(*last_order, {}, {});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->reason, failure_reason::upstream_unreachable);
    EXPECT_EQ(results[0]->ran, effect::unknown);
}

// Regression (simulated day of load "scale-2", seed 631230157334): the run was
// started again while the worker was still stopping it.
TEST_F(leased_run_table, a_run_that_is_being_stopped_is_not_over)
{
    answer(start(0), order_result::accepted);
    table.stop(run(0), now);
    take();
    table.on_stop(life, {run(0), {}}, {order_result::accepted, clock()}, now);
    for (int n = 0; n < 3; ++n)
    {
        now += milliseconds(20);
        table.tick(now);
        take();
        report(*last_order, {}, {});
        take();
        EXPECT_TRUE(results.empty());
    }
    report(*last_order, {}, {{1, run(0), run_end::stopped}});
    take();
    EXPECT_EQ(results.size(), 1U);
}

TEST_F(leased_run_table, a_report_requested_before_the_start_is_stale)
{
    answer(start(0), order_result::accepted);
    const auto before = *last_order;
    answer(start(1), order_result::accepted);
    report(before, {{run(0), 0}}, {});
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(table.size(), 2U);
}

// Regression: a run was given up while it still ran, because a later report had
// overtaken an earlier one that did not list it.
TEST_F(leased_run_table, a_list_that_was_overtaken_ends_no_run)
{
    start(0);
    now += leased_runs_options().min_poll_period;
    table.tick(now);
    take();
    const auto first = *last_order;
    now += leased_runs_options().report_timeout;
    table.tick(now);
    take();
    const auto second = *last_order;
    ASSERT_GT(second.number, first.number);
    report(second, {{run(0), 0}}, {});
    take();
    report(first, {}, {});
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(leased_run_table, a_run_missing_from_a_later_report_is_given_up)
{
    start(0);
    now += leased_runs_options().min_poll_period;
    table.tick(now);
    take();
    report(*last_order, {{run(0), 0}}, {});
    take();
    now += leased_runs_options().min_poll_period;
    table.tick(now);
    take();
    report(*last_order, {}, {});
    EXPECT_EQ(take().given_up.size(), 1U);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::unknown);
}

// Regression: a start that was executed late began a run that had been given
// up. The lease must not be longer after a pause without orders.
TEST_F(leased_run_table, a_start_after_a_pause_has_no_longer_lease)
{
    now += std::chrono::seconds(3);
    table.set_worker(worker(life), clock(), now);
    take();
    EXPECT_EQ(start(0).lease_end,
              clock() + std::chrono::duration_cast<worker_time>(
                            leased_runs_options().lease));
}

TEST_F(leased_run_table, a_declined_start_was_not_run)
{
    for (const auto result :
         {order_result::superseded, order_result::too_late,
          order_result::no_room, order_result::fenced, order_result::unhealthy})
    {
        results.clear();
        answer(start(0), result);
        ASSERT_EQ(results.size(), 1U);
        EXPECT_EQ(results[0]->ran, effect::not_run);
    }
}

TEST_F(leased_run_table, a_fenced_order_raises_the_token_to_the_clock)
{
    now += milliseconds(400);
    answer(start(0), order_result::fenced);
    EXPECT_GT(start(1).fence, fencing_token(5400));
}

TEST_F(leased_run_table,
       an_unresponsive_worker_is_not_ready_and_its_lease_expires)
{
    answer(start(0), order_result::accepted);
    table.on_extended(life, *last_order, {}, now);
    now += milliseconds(250);
    table.tick(now);
    take();
    EXPECT_FALSE(table.ready(now));
    EXPECT_FALSE(last_order->order.lease_end);
    EXPECT_EQ(start(1), start_order());
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::not_run);
    for (int n = 0; n < 12; ++n)
    {
        table.on_extended(life, *last_order, {}, now);
        now += milliseconds(100);
        table.tick(now);
        take();
    }
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(results.back()->ran, effect::unknown);
}

// Regression: no request was sent once no run was left, so the worker stayed
// unused.
TEST_F(leased_run_table, an_unresponsive_worker_is_queried_until_it_answers)
{
    answer(start(0), order_result::accepted);
    while (table.size() > 0)
    {
        table.on_extended(life, *last_order, {}, now);
        now += milliseconds(100);
        table.tick(now);
        take();
    }
    EXPECT_FALSE(table.ready(now));
    table.on_extended(life, *last_order, {}, now);
    take();
    const auto last = last_order->number;
    now += leased_runs_options().min_poll_period;
    table.tick(now);
    take();
    ASSERT_EQ(last_order->number, last);
    now += leased_runs_options().extend_period;
    table.tick(now);
    take();
    ASSERT_GT(last_order->number, last);
    report(*last_order, {}, {});
    take();
    EXPECT_TRUE(table.ready(now));
}

TEST_F(leased_run_table, an_overdue_report_is_requested)
{
    answer(start(0), order_result::accepted);
    const auto waiting = last_order->number;
    now += milliseconds(70);
    table.tick(now);
    take();
    EXPECT_GT(last_order->number, waiting);
    EXPECT_EQ(last_order->order.wait, duration::zero());
}

TEST_F(leased_run_table, a_run_that_is_stopped_on_demand_is_cancelled)
{
    answer(start(0), order_result::accepted);
    table.stop(run(0), now);
    take();
    EXPECT_EQ(stops, std::vector<task_run>{run(0)});
    report(*last_order, {}, {{1, run(0), run_end::stopped}});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->reason, failure_reason::cancelled);
}

TEST_F(leased_run_table, a_stalled_run_is_stopped_and_may_run_again)
{
    answer(start(0), order_result::accepted);
    for (std::uint32_t percent = 1; percent < 4; ++percent)
    {
        report(*last_order, {{run(0), percent}}, {});
        now += milliseconds(60);
        table.tick(now);
        take();
    }
    EXPECT_TRUE(stops.empty());
    now += milliseconds(400);
    table.tick(now);
    take();
    report(*last_order, {{run(0), 3}}, {});
    take();
    EXPECT_EQ(stops, std::vector<task_run>{run(0)});
    report(*last_order, {}, {{1, run(0), run_end::stopped}});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->reason, failure_reason::upstream_unreachable);
}

TEST_F(leased_run_table, a_slow_run_is_left_to_end)
{
    answer(start(0), order_result::accepted);
    for (std::uint32_t percent = 1; percent < 8; ++percent)
    {
        report(*last_order, {{run(0), percent}}, {});
        now += milliseconds(300);
        table.tick(now);
        take();
    }
    EXPECT_TRUE(stops.empty());
}

TEST_F(leased_run_table, a_run_that_lapsed_may_run_again)
{
    answer(start(0), order_result::accepted);
    report(*last_order, {}, {{1, run(0), run_end::lapsed}});
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->reason, failure_reason::upstream_unreachable);
    EXPECT_EQ(results[0]->ran, effect::unknown);
}

} // namespace

} // namespace lagoonquay
