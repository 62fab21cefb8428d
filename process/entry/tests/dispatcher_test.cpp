#include "lagoonquay/process/dispatcher.hpp"

#include "fake_link.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <string>

namespace lagoonquay
{

namespace
{

constexpr resources worker{8000, 1000, 0};
constexpr duration second = std::chrono::seconds(1);

//! An entry's dispatcher with fake agents.
class dispatcher_bench
{
public:
    explicit dispatcher_bench(int agents)
        : tasks({.now = [this] { return now; },
                 .route = counting(
                     make_route(route_policy::slot_credits, draw_zero)),
                 .weight = [](const customer_id&) { return 1U; },
                 .draw = draw_zero,
                 .waiting = [this](const task_key& key)
                 { return gone.count(key) == 0; },
                 .begin =
                     [this](const task_key& key, const agent_id& agent,
                            const taken_credit&)
                 {
                     return begin(key, agent);
                 }})
    {
        for (int n = 1; n <= agents; ++n)
        {
            const agent_id id("a" + std::to_string(n));
            links.push_back(std::make_shared<fake_link>());
            tasks.agents().learn(
                {member({.id = id.text(), .domain = domain_id(id.text())})},
                now);
            tasks.agents().open(id, links.back());
            grant(n, 2, true);
        }
        now += 10 * second;
    }

    void grant(int agent, std::uint64_t credits, bool accepting)
    {
        grant_message it;
        it.agent = agent_id("a" + std::to_string(agent));
        it.credits_total = credits;
        it.slots = 2;
        it.capacity = worker;
        it.accepting = accepting;
        it.dispatches_total = sent_to(agent);
        tasks.update(it.agent, it, now);
    }

    void add(std::uint64_t index, const resources& need = {})
    {
        tasks.enqueue({describe(index, need)});
        tasks.pump();
    }

    static task_to_queue describe(std::uint64_t index,
                                  const resources& need = {})
    {
        return {.customer = customer_id("c"),
                .key = {submission_id("s"), task_index(index)},
                .kind = "kind",
                .need = need,
                .declared_run = second,
                .deadline = instant(1000 * second)};
    }

    //! Ends the newest dispatch of an agent.
    void end(int agent, failure_reason reason, std::uint64_t credits,
             std::uint32_t busy = 0)
    {
        const auto sent =
            std::get<dispatch_message>(links[agent - 1]->sent.back());
        result_message it{sent.submission, sent.key, {}, credits, busy, second};
        it.result = task_result(
            {.index = sent.key.index, .reason = reason, .ran = effect::ran});
        it.dispatches_total = sent_to(agent);
        const agent_id id("a" + std::to_string(agent));
        tasks.finish(id, it);
        tasks.pump(id);
    }

    std::size_t sent_to(int agent) const
    {
        return links[agent - 1]->sent.size();
    }

    task_index last_sent_to(int agent) const
    {
        return std::get<dispatch_message>(links[agent - 1]->sent.back())
            .key.index;
    }

    instant now{100 * second};
    std::size_t considered = 0; //!< candidates passed to the route hook
    std::set<task_key> gone;
    std::vector<std::shared_ptr<fake_link>> links;
    dispatcher tasks;

private:
    route_hook counting(route_hook inner)
    {
        return [this, it = std::move(inner)](const auto& request,
                                             const auto& candidates)
        {
            considered += candidates.size();
            return it(request, candidates);
        };
    }

    static std::uint64_t draw_zero(std::uint64_t)
    {
        return 0;
    }

    std::optional<dispatch_message> begin(const task_key& key,
                                          const agent_id& agent)
    {
        if (gone.count(key) > 0)
            return std::nullopt;
        dispatch_message message;
        message.submission = key.submission;
        message.key = {key.index, attempt_number(++attempts_), agent, {}};
        return message;
    }

    std::uint64_t attempts_ = 0;
};

TEST(dispatcher, a_task_that_fits_no_agent_does_not_block_others)
{
    dispatcher_bench bench(1);
    bench.add(0, {5000, 0, 0});
    bench.add(1, {5000, 0, 0});
    bench.add(2, {1000, 0, 0});
    EXPECT_EQ(bench.sent_to(1), 2U);
    EXPECT_EQ(bench.tasks.queued(), 1U);
}

TEST(dispatcher, tasks_of_a_service_without_workers_do_not_block_others)
{
    dispatcher_bench bench(1);
    std::vector<task_to_queue> unserved;
    for (std::uint64_t n = 1; n <= 100; ++n)
    {
        unserved.push_back(dispatcher_bench::describe(n));
        unserved.back().service = service_id("new");
    }
    bench.tasks.enqueue(unserved);
    bench.add(101);
    EXPECT_EQ(bench.sent_to(1), 1U);
    EXPECT_EQ(bench.tasks.queued(), 100U);
}

// Guards against a fault in which, while tasks waited, each message of an agent
// made the entry consider all agents for each waiting task.
TEST(dispatcher, a_result_does_not_trigger_a_pass_over_all_agents)
{
    constexpr int agents = 60;
    dispatcher_bench bench(agents);
    for (std::uint64_t n = 0; n < agents + 10; ++n)
        bench.add(n, {6000, 0, 0});
    ASSERT_EQ(bench.tasks.queued(), 10U);
    bench.considered = 0;
    bench.end(1, failure_reason::none, 3);
    EXPECT_EQ(bench.sent_to(1), 2U);
    EXPECT_EQ(bench.tasks.queued(), 9U);
    EXPECT_LE(bench.considered, 2U * 10);
}

// Without a reservation, small tasks would fill the worker all the time and the
// large task would never be dispatched.
TEST(dispatcher, a_large_task_does_not_starve)
{
    dispatcher_bench bench(1);
    bench.add(0, {4000, 0, 0});
    bench.add(1, {8000, 0, 0});
    bench.add(2, {4000, 0, 0});
    ASSERT_EQ(bench.sent_to(1), 2U);
    bench.add(3, {4000, 0, 0});
    bench.now += second;
    bench.end(1, failure_reason::none, 3);
    bench.tasks.tick();
    ASSERT_EQ(bench.sent_to(1), 2U);
    const auto first = std::get<dispatch_message>(bench.links[0]->sent.front());
    bench.tasks.finish(agent_id("a1"),
                       {first.submission, first.key, {}, 4, 0, {}});
    bench.tasks.pump();
    ASSERT_EQ(bench.sent_to(1), 3U);
    const auto large = std::get<dispatch_message>(bench.links[0]->sent.back());
    EXPECT_EQ(large.key.index, task_index(1));
}

// An agent is reserved only for a need that fits no agent, not when all workers
// are full.
TEST(dispatcher, tasks_that_wait_for_full_workers_reserve_no_agent)
{
    dispatcher_bench bench(2);
    for (std::uint64_t n = 0; n < 4; ++n)
        bench.add(n);
    bench.end(1, failure_reason::none, 3, 9);
    bench.end(2, failure_reason::none, 3, 9);
    bench.add(4);
    bench.add(5);
    ASSERT_EQ(bench.tasks.queued(), 2U);
    bench.now += second;
    bench.tasks.tick();
    EXPECT_FALSE(bench.tasks.has_reserved_agent());
    EXPECT_EQ(bench.tasks.queued(), 2U);
}

TEST(dispatcher, a_duplicate_result_frees_nothing_twice)
{
    dispatcher_bench bench(1);
    bench.add(0);
    bench.end(1, failure_reason::none, 3);
    bench.end(1, failure_reason::none, 3);
    bench.add(1);
    bench.add(2);
    bench.add(3);
    EXPECT_EQ(bench.sent_to(1), 3U);
    EXPECT_EQ(bench.tasks.queued(), 1U);
}

TEST(dispatcher, a_worker_that_fails_every_task_is_quarantined)
{
    dispatcher_bench bench(1);
    for (std::uint64_t n = 0; n < 3; ++n)
    {
        bench.add(n);
        bench.end(1, failure_reason::upstream_failed, 3 + n);
    }
    bench.add(3);
    EXPECT_EQ(bench.sent_to(1), 3U);
    EXPECT_EQ(bench.tasks.agents().suspect_count(), 1U);
    bench.now += second;
    bench.tasks.tick();
    EXPECT_EQ(bench.sent_to(1), 4U);
}

TEST(dispatcher, a_declined_task_is_retried_at_once_and_later_with_delay)
{
    dispatcher_bench bench(2);
    bench.add(0);
    const int declined = bench.sent_to(1) == 1 ? 1 : 2;
    const agent_id agent("a" + std::to_string(declined));
    bench.tasks.enqueue_again(dispatcher_bench::describe(0), agent, 1);
    bench.tasks.pump();
    EXPECT_EQ(bench.sent_to(3 - declined), 1U);
    bench.tasks.enqueue_again(dispatcher_bench::describe(0), agent, 2);
    bench.tasks.tick();
    EXPECT_EQ(bench.sent_to(3 - declined), 1U);
    bench.now += second;
    bench.tasks.tick();
    EXPECT_EQ(bench.sent_to(3 - declined), 2U);
}

TEST(dispatcher, a_task_returned_by_a_full_agent_always_goes_to_another)
{
    dispatcher_bench bench(2);
    for (int n = 1; n <= 2; ++n)
        bench.grant(n, 100, true);
    for (std::uint64_t n = 0; n < 40; ++n)
    {
        const auto before = bench.sent_to(2);
        bench.tasks.enqueue_returned(dispatcher_bench::describe(n),
                                     agent_id("a1"));
        bench.tasks.pump();
        EXPECT_EQ(bench.sent_to(2), before + 1);
        bench.end(2, failure_reason::none, 100);
    }
    EXPECT_EQ(bench.sent_to(1), 0U);
}

TEST(dispatcher, a_returned_task_keeps_its_place)
{
    dispatcher_bench bench(1);
    bench.add(10);
    bench.add(11);
    auto late = dispatcher_bench::describe(0);
    late.accepted = bench.now;
    auto early = dispatcher_bench::describe(1);
    early.accepted = bench.now - second;
    bench.tasks.enqueue({late});
    bench.tasks.enqueue_returned(early, agent_id("a2"));
    bench.tasks.pump();
    ASSERT_EQ(bench.sent_to(1), 2U);
    bench.end(1, failure_reason::none, 3);
    ASSERT_EQ(bench.sent_to(1), 3U);
    EXPECT_EQ(bench.last_sent_to(1), task_index(1));
}

TEST(dispatcher, a_task_that_no_longer_waits_uses_no_credit)
{
    dispatcher_bench bench(1);
    bench.gone.insert({submission_id("s"), task_index(0)});
    bench.add(0);
    bench.add(1);
    bench.add(2);
    EXPECT_EQ(bench.sent_to(1), 2U);
}

} // namespace

} // namespace lagoonquay
