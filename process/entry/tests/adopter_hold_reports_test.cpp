// Ways by which a task that an adopter holds may be started too early.
#include "late_start_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Three entries and three agents, with the durations of the product.
class adopter_hold_review : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        open_log({.level = log_level::error});
    }

    static fake_fleet_options with_workers(leased_workers& workers)
    {
        const entry_options usual;
        fake_fleet_options options;
        options.lease = usual.claim_lease;
        options.link_silence = message_link_options().silence;
        options.hooks.adjust_entry = [usual](entry_options& it)
        {
            it.claim_margin = usual.claim_margin;
            it.reconnect_timeout = usual.reconnect_timeout;
        };
        workers.attach(options.hooks);
        return options;
    }

    adopter_hold_review()
        : workers(fleet, {.tells_begun = true}), fleet(with_workers(workers))
    {
    }

    void submit(std::size_t entry)
    {
        if (!work)
            work = job({.submission = submission_id("job"),
                        .customer = customer_id("c"),
                        .created = fleet.wall(),
                        .time_limit = seconds(60),
                        .idempotent = true,
                        .tasks = std::vector<task>(1)});
        fleet.submit(entry, *work);
    }

    void separate_from_all(std::size_t agent, bool separated)
    {
        for (std::size_t n = 0; n < 3; ++n)
            fleet.separate(n, agent, separated);
    }

    //! Holds up the second start by `delay`, without an answer.
    void hold_up_second_start(duration delay)
    {
        workers.on_order = [this,
                            delay](std::size_t at, order_kind kind,
                                   const task_run&) -> std::optional<order_fate>
        {
            if (kind != order_kind::start || second)
                return std::nullopt;
            if (!first)
            {
                first = at;
                return std::nullopt;
            }
            second = at;
            sent = fleet.time().now();
            return order_fate{.delay = delay, .answer_lost = true};
        };
    }

    leased_workers workers;
    fake_fleet fleet;
    std::optional<job> work;
    instant sent{};                    //!< when the second start was
    std::optional<std::size_t> first;  //!< agent of the first start
    std::optional<std::size_t> second; //!< of the second one
};

} // namespace

// Guards against a held task that an earlier agent's kept result starts again.
TEST_F(adopter_hold_review, is_not_ended_by_the_result_of_an_earlier_attempt)
{
    const auto delay = seconds(14);
    hold_up_second_start(delay);
    workers.work_time = [](const task_run&)
    {
        return seconds(12);
    };
    fleet.run_for(seconds(2));
    submit(0);
    fleet.run_for(milliseconds(200));
    ASSERT_TRUE(first);
    separate_from_all(*first, true);
    for (int n = 0; n < 800 && !second; ++n)
        fleet.run_for(milliseconds(10));
    ASSERT_TRUE(second);
    ASSERT_NE(*second, *first);
    fleet.run_for(milliseconds(50));
    separate_from_all(*second, true);
    fleet.kill_entry(0);
    fleet.run_for(milliseconds(200));
    submit(1);
    for (int n = 0; n < 1200 && fleet.entry(1).counts().held_moves == 0; ++n)
        fleet.run_for(milliseconds(10));
    ASSERT_EQ(fleet.entry(1).counts().held_moves, 1U);
    ASSERT_LT(fleet.time().now(), sent + seconds(11));
    const auto began = workers.began();
    separate_from_all(*first, false);
    fleet.run_for(seconds(2));
    EXPECT_EQ(workers.began(), began) << "started while it is held";
    const auto life = sent + delay - milliseconds(30);
    fleet.run_for(life - fleet.time().now());
    workers.crash(*second, milliseconds(10), false, worker_time(0));
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

class adopter_hold_limits : public late_start_fleet
{
protected:
    adopter_hold_limits() : late_start_fleet(3)
    {
    }
};

// Guards against an agent's result that is held up to the deadline which the
// earlier holder knew, while that of the adopter is later.
TEST_F(adopter_hold_limits, are_those_of_the_job_that_was_sent_again)
{
    const auto delay = milliseconds(5500);
    hold_up_start(delay);
    fleet.run_for(seconds(2));
    const job work({.submission = submission_id("job"),
                    .customer = customer_id("c"),
                    .created = fleet.wall(),
                    .time_limit = seconds(4),
                    .idempotent = true,
                    .tasks = std::vector<task>(1)});
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    ASSERT_TRUE(first_agent);
    fleet.agent(*first_agent).drain();
    fleet.kill_entry(0);
    fleet.run_for(milliseconds(2700));
    fleet.submit(1, work);
    const auto life = sent + delay - milliseconds(30);
    fleet.run_for(life - fleet.time().now());
    EXPECT_EQ(workers.began(), 0U);
    workers.crash(*first_agent, milliseconds(10), false, worker_time(0));
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

} // namespace lagoonquay
