// Restarts of a worker, and runs that an earlier agent left at it.
#include "leased_run_table.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

TEST_F(leased_run_table, a_new_life_ends_every_run)
{
    answer(start(0), order_result::accepted);
    report(*last_order, {{run(0), 0}}, {});
    EXPECT_TRUE(
        table.set_worker(worker(worker_life(2000)), worker_time(10), now));
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::unknown);
    EXPECT_FALSE(table.ready(now));
}

// Regression: tasks that waited for capacity were sent to the next life at
// once, although it may have less capacity.
TEST_F(leased_run_table, no_start_is_sent_before_a_new_life_has_answered)
{
    answer(start(0), order_result::accepted);
    table.set_worker(worker(worker_life(2000)), worker_time(10), now);
    take();
    results.clear();
    EXPECT_EQ(start(1), start_order());
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::not_run);
}

// Two threads deliver their decisions on the worker out of order.
TEST_F(leased_run_table, a_report_of_an_earlier_life_ends_no_run)
{
    const worker_life next(2000);
    table.set_worker(worker(next), worker_time(10), now, 8);
    take();
    lease_reply reply;
    reply.order = {order_result::accepted, worker_time(12)};
    table.on_extended(next, *last_order, reply, now);
    take();
    const auto order = start(0);
    table.on_start(next, order, {order_result::accepted, worker_time(14)}, now);
    take();
    EXPECT_FALSE(table.set_worker(worker(life), worker_time(6000), now, 7));
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_TRUE(table.ready(now));
}

// Guards against a run of an earlier agent that goes on for longer than
// max_run_time_without_agent(): the order that lists it must not extend its
// lease, and neither may one that repeats the question while its stop is lost.
TEST(new_run_table, extends_no_lease_before_it_knows_the_runs_of_its_worker)
{
    auto now = began;
    run_table table({});
    const endpoint address{"127.0.0.1", 9};
    table.set_worker({address, "w", life}, worker_time(5000), now);
    const auto first = table.take_output(now).extensions;
    ASSERT_EQ(first.size(), 1U);
    EXPECT_FALSE(first[0].order.lease_end);
    lease_reply reply;
    reply.order = {order_result::accepted, worker_time(5001)};
    reply.running.push_back(
        {.run = {submission_id("s"), task_index(0), attempt_number(1)}});
    table.on_extended(life, first[0], reply, now);
    now += milliseconds(30);
    table.tick(now);
    const auto next = table.take_output(now);
    EXPECT_FALSE(table.ready(now));
    ASSERT_FALSE(next.extensions.empty());
    for (const auto& it : next.extensions)
        EXPECT_FALSE(it.order.lease_end);
}

// Guards against a start of an earlier process that reaches a next life, where
// the worker's clock has begun anew.
TEST(new_run_table, begins_above_each_token_of_an_earlier_process)
{
    constexpr std::uint64_t born = 1'780'000'000'000;
    const endpoint address{"127.0.0.1", 9};
    run_table earlier({});
    earlier.set_worker({address, "w", worker_life(born)}, worker_time(600000),
                       began);
    run_table next({});
    next.set_worker({address, "w", worker_life(born + 600300)}, worker_time(10),
                    began);
    EXPECT_GT(next.take_output(began).extensions.at(0).order.fence,
              earlier.take_output(began).extensions.at(0).order.fence);
}

// A run that is being stopped is not listed, and its stop may arrive late.
TEST_F(leased_run_table, a_run_of_an_earlier_agent_is_awaited_after_its_stop)
{
    const worker_life next(2000);
    table.set_worker(worker(next), worker_time(700), now);
    const auto first = take().extensions.at(0);
    lease_reply reply;
    reply.order = {order_result::accepted, worker_time(710)};
    reply.running = {{run(9, 4), 0}};
    table.on_extended(next, first, reply, now);
    take();
    ASSERT_EQ(stops, std::vector<task_run>{run(9, 4)});
    now += milliseconds(80);
    table.tick(now);
    take();
    const auto asked = *last_order;
    // The stop began just before this report was made.
    table.on_stop(next, {run(9, 4), {}},
                  {order_result::accepted, worker_time(788)}, now);
    take();
    reply.running.clear();
    table.on_extended(next, asked, reply, now);
    EXPECT_FALSE(table.ready(now));
    now += milliseconds(80);
    table.tick(now);
    take();
    table.on_extended(next, *last_order, reply, now);
    EXPECT_TRUE(table.ready(now));
}

// Regression: a worker that had restarted under the same name executed a start
// that was in flight during the restart.
TEST_F(leased_run_table, a_start_in_flight_to_a_next_life_is_not_over)
{
    start(0);
    const worker_life next(2000);
    table.set_worker(worker(next), worker_time(10), now);
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(stops, std::vector<task_run>{run(0)});
    table.on_stop(next, {run(0), {}}, {order_result::accepted, worker_time(12)},
                  now);
    take();
    lease_reply reply;
    reply.order = {order_result::accepted, worker_time(13)};
    for (int n = 0; n < 2; ++n)
    {
        EXPECT_TRUE(results.empty());
        table.on_extended(next, *last_order, reply, now);
        take();
        now += milliseconds(80);
        table.tick(now);
        take();
    }
    table.on_extended(next, *last_order, reply, now);
    take();
    EXPECT_EQ(results.size(), 1U);
}

// Regression: a start without an answer was revoked in one life, its task was
// started elsewhere, and the next life executed the start.
TEST_F(leased_run_table, a_revoked_start_has_no_result_while_it_may_be_retried)
{
    retry_window = std::chrono::seconds(2);
    const auto order = start(0);
    answer(order, order_result::unknown);
    report(*last_order, {}, {});
    take();
    ASSERT_EQ(stops, std::vector<task_run>{run(0)});
    table.on_stop(life, {run(0), {}}, {order_result::accepted, clock()}, now);
    while (now < began + retry_window)
    {
        EXPECT_TRUE(results.empty());
        now += milliseconds(80);
        table.tick(now);
        take();
        report(*last_order, {}, {});
        take();
    }
    EXPECT_EQ(table.size(), 0U);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::unknown);
}

TEST_F(leased_run_table, a_started_run_that_is_gone_has_its_result_at_once)
{
    retry_window = std::chrono::seconds(2);
    answer(start(0), order_result::accepted);
    report(*last_order, {{run(0), 0}}, {});
    table.set_worker(worker(worker_life(2000)), worker_time(10), now);
    take();
    EXPECT_EQ(results.size(), 1U);
}

TEST_F(leased_run_table, a_start_answered_with_an_earlier_clock_is_unconfirmed)
{
    const auto order = start(0);
    table.on_start(life, order, {order_result::accepted, worker_time(30)}, now);
    take();
    EXPECT_FALSE(table.ready(now));
    table.set_worker(worker(worker_life(2000)), worker_time(40), now);
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(stops, std::vector<task_run>{run(0)});
}

// Regression: a next life that the agent had not heard of accepted a start, and
// its report ended the run, which went on and was started elsewhere.
TEST_F(leased_run_table, a_run_that_a_next_life_accepted_goes_on)
{
    const worker_life next(2000);
    answer(start(0), order_result::accepted);
    table.set_worker(worker(next), clock() + milliseconds(12), now);
    take();
    EXPECT_TRUE(results.empty());
    lease_reply reply;
    reply.order = {order_result::accepted, clock() + milliseconds(14)};
    reply.running = {{run(0), 0}};
    table.on_extended(next, *last_order, reply, now);
    take();
    EXPECT_TRUE(results.empty());
    EXPECT_TRUE(stops.empty());
    EXPECT_TRUE(table.ready(now));
    reply.running.clear();
    reply.ended = {{1, run(0), run_end::done}};
    table.on_extended(next, *last_order, reply, now);
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::ran);
}

TEST_F(leased_run_table, a_run_that_no_next_life_lists_has_its_result_at_once)
{
    retry_window = std::chrono::seconds(2);
    const worker_life next(2000);
    answer(start(0), order_result::accepted);
    table.set_worker(worker(next), clock() + milliseconds(12), now);
    take();
    EXPECT_TRUE(results.empty());
    lease_reply reply;
    reply.order = {order_result::accepted, clock() + milliseconds(14)};
    table.on_extended(next, *last_order, reply, now);
    take();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0]->ran, effect::unknown);
    EXPECT_TRUE(stops.empty());
}

// Regression: the lease of a start was counted by the clock of an earlier life,
// but the worker's next life, whose clock was behind, granted a longer one.
TEST_F(leased_run_table, a_lease_that_a_next_life_grants_is_not_over)
{
    now += milliseconds(1500); // without an answer that has a later clock
    const auto order = start(0);
    table.on_start(life, order, {order_result::accepted, worker_time(5001)},
                   now);
    take();
    const auto accepted = now;
    // The worker lets a run go on for 1 s of its clock, which may be slow.
    while (now < accepted + milliseconds(1020))
    {
        EXPECT_TRUE(results.empty());
        table.on_extended(life, *last_order, {}, now);
        now += milliseconds(40);
        table.tick(now);
        take();
    }
    now = accepted + std::chrono::seconds(3);
    table.on_extended(life, *last_order, {}, now);
    table.tick(now);
    take();
    EXPECT_EQ(results.size(), 1U);
}

// Guards against a run that is kept for hours, since the clocks of two lives
// differ by that much.
TEST_F(leased_run_table, a_run_of_a_silent_worker_is_kept_for_one_lease)
{
    const worker_life next(2000);
    answer(start(0), order_result::accepted);
    table.set_worker(worker(next), std::chrono::hours(2), now);
    take();
    const auto silent_since = now;
    while (now < silent_since + std::chrono::seconds(3))
    {
        if (last_order)
            table.on_extended(next, *last_order, {}, now);
        now += milliseconds(40);
        table.tick(now);
        take();
    }
    EXPECT_EQ(results.size(), 1U);
}

TEST_F(leased_run_table, a_worker_of_another_name_has_not_begun_earlier_starts)
{
    start(0);
    auto other = worker(worker_life(2000));
    other.id = "v";
    table.set_worker(other, worker_time(10), now);
    take();
    EXPECT_EQ(results.size(), 1U);
}

// Regression: a fencing token of an earlier agent stayed higher than the
// worker's clock for seconds, so orders were refused.
TEST_F(leased_run_table, a_token_that_is_refused_again_rises_quickly)
{
    // 95 s of the worker's clock, in steps of 16 ms.
    const auto needed = last_order->order.fence.number() + 95000 / 16;
    int refusals = 0;
    while (last_order->order.fence < fencing_token(needed))
    {
        lease_reply refused;
        refused.order = {order_result::fenced, clock()};
        table.on_extended(life, *last_order, refused, now);
        ASSERT_LT(++refusals, 8);
        now += milliseconds(50);
        start(static_cast<std::uint64_t>(refusals));
        table.tick(now);
        take();
    }
}

// Guards against a run of an earlier process that is on no list, since its stop
// has just reached it.
TEST(new_run_table, is_ready_once_a_stop_of_an_earlier_process_would_be_over)
{
    const endpoint address{"127.0.0.1", 9};
    auto now = began;
    run_table table({});
    table.set_worker({address, "w", life}, worker_time(5000), now);
    lease_reply empty;
    empty.order = {order_result::accepted, worker_time(5001)};
    while (now <= began + milliseconds(75))
    {
        const auto asked = table.take_output(now).extensions;
        for (const auto& it : asked)
            table.on_extended(life, it, empty, now);
        EXPECT_FALSE(table.ready(now));
        now += milliseconds(25);
        table.tick(now);
    }
    for (const auto& it : table.take_output(now).extensions)
        table.on_extended(life, it, empty, now);
    EXPECT_TRUE(table.ready(now));
}

// Guards against a wait that counts from the answer to a token that was
// refused meanwhile.
TEST(new_run_table, waits_from_the_acceptance_of_its_last_token)
{
    const endpoint address{"127.0.0.1", 9};
    auto now = began;
    run_table table({});
    table.set_worker({address, "w", life}, worker_time(5000), now);
    const auto first = table.take_output(now).extensions.at(0);
    lease_reply refused;
    refused.order = {order_result::fenced, worker_time(5000)};
    table.on_extended(life, first, refused, now);
    lease_reply empty;
    empty.order = {order_result::accepted, worker_time(5001)};
    table.on_extended(life, first, empty, now); // overtaken by the refusal
    now += milliseconds(100);
    table.tick(now);
    for (const auto& it : table.take_output(now).extensions)
        table.on_extended(life, it, empty, now);
    EXPECT_FALSE(table.ready(now));
}

// Guards against a token that falls while the worker lives on.
TEST(new_run_table, begins_above_an_earlier_process_after_hours)
{
    const endpoint address{"127.0.0.1", 9};
    const worker_address worker{address, "w", worker_life(1'780'000'000'000)};
    fencing_token earlier;
    for (int hours = 1; hours < 100; ++hours)
    {
        run_table table({});
        table.set_worker(worker, std::chrono::hours(hours), began);
        const auto token =
            table.take_output(began).extensions.at(0).order.fence;
        EXPECT_GT(token, earlier) << "after " << hours << " hours";
        earlier = token;
    }
}

// Guards against a wait at each crash of a worker.
TEST_F(leased_run_table, waits_for_no_earlier_stop_after_it_was_ready)
{
    table.set_worker(worker(worker_life(2000)), worker_time(10), now);
    lease_reply empty;
    empty.order = {order_result::accepted, worker_time(12)};
    table.on_extended(worker_life(2000), take().extensions.at(0), empty, now);
    EXPECT_TRUE(table.ready(now));
}

// Guards against a raised token that a next process exceeds only after years.
TEST(new_run_table, begins_above_a_token_that_was_raised_after_a_refusal)
{
    const endpoint address{"127.0.0.1", 9};
    const worker_address worker{address, "w", worker_life(1'780'000'000'000)};
    auto now = began;
    run_table earlier({});
    earlier.set_worker(worker, worker_time(5000), now);
    auto order = earlier.take_output(now).extensions.at(0);
    for (int refusals = 0; refusals < 2; ++refusals)
    {
        lease_reply refused;
        refused.order = {order_result::fenced, worker_time(5000)};
        earlier.on_extended(worker.life, order, refused, now);
        now += milliseconds(30);
        earlier.tick(now);
        order = earlier.take_output(now).extensions.at(0);
    }
    run_table next({});
    next.set_worker(worker, worker_time(6000), now);
    EXPECT_GT(next.take_output(now).extensions.at(0).order.fence,
              order.order.fence);
}

// A token must stay exact in JSON.
TEST_F(leased_run_table, a_token_that_is_always_refused_stays_exact_in_json)
{
    constexpr fencing_token limit(9007199254740991);
    constexpr int refusals = 100;
    for (int n = 0; n < refusals; ++n)
    {
        lease_reply refused;
        refused.order = {order_result::fenced, clock()};
        table.on_extended(life, *last_order, refused, now);
        now += milliseconds(50);
        start(static_cast<std::uint64_t>(n));
        table.tick(now);
        take();
        ASSERT_LE(last_order->order.fence, limit) << n << " refusals";
    }
    EXPECT_GT(last_order->order.fence, fencing_token(limit.number() / 2));
}

TEST_F(leased_run_table, runs_of_an_earlier_agent_are_stopped_before_ready)
{
    table.set_worker(worker(worker_life(2000)), worker_time(700), now);
    const auto first = take().extensions.at(0);
    // Orders to the earlier life have tokens below (1001 << 21) and may still
    // arrive, although its clock was higher.
    EXPECT_EQ(first.order.fence, fencing_token((2000ULL << 21) + 700 / 16));
    lease_reply reply;
    reply.order = {order_result::accepted, worker_time(710)};
    reply.running = {{run(9, 4), 0}};
    table.on_extended(worker_life(2000), first, reply, now);
    take();
    EXPECT_EQ(stops, std::vector<task_run>{run(9, 4)});
    EXPECT_FALSE(table.ready(now));
    table.on_stop(worker_life(2000), {run(9, 4), {}},
                  {order_result::accepted, worker_time(712)}, now);
    now += milliseconds(60);
    table.tick(now);
    take();
    reply.running.clear();
    table.on_extended(worker_life(2000), *last_order, reply, now);
    EXPECT_FALSE(table.ready(now));
    now += milliseconds(80);
    table.tick(now);
    take();
    table.on_extended(worker_life(2000), *last_order, reply, now);
    EXPECT_TRUE(table.ready(now));
}

} // namespace

} // namespace lagoonquay
