// Tests of a start without an answer whose agent is lost: the worker's next
// life may carry it out, so its task isn't started elsewhere before.
#include "late_start_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

//! One entry, and one job of one task.
class unanswered_start : public late_start_fleet
{
protected:
    explicit unanswered_start(bool tells_begun = true)
        : late_start_fleet(1, tells_begun)
    {
    }

    void submit(duration time_limit)
    {
        fleet.submit(0, job({.submission = submission_id("job"),
                             .customer = customer_id("c"),
                             .created = fleet.wall(),
                             .time_limit = time_limit,
                             .idempotent = true,
                             .tasks = std::vector<task>(1)}));
    }

    //! Submits the job, and waits until its task was sent to a worker.
    //! @return the agent that has it.
    std::size_t start_run(duration time_limit = seconds(30))
    {
        submit(time_limit);
        fleet.run_for(milliseconds(100));
        if (first_agent)
            return *first_agent;
        return workers.worker(0).runs().empty() ? 1 : 0;
    }

    void expect_one_answer(bool complete)
    {
        ASSERT_EQ(fleet.record().answers.size(), 1U);
        EXPECT_EQ(succeeded(fleet.record().answers[0]), complete);
    }
};

// The agent lives, its link is lost, and the worker begins anew under its id
// before the start arrives.
TEST_F(unanswered_start, does_not_begin_beside_another_run_behind_a_lost_link)
{
    hold_up_start(seconds(4));
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    fleet.run_for(milliseconds(3800));
    workers.crash(agent, milliseconds(10), false, worker_time(0));
    fleet.run_for(seconds(2));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.began(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    fleet.run_for(seconds(25));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.began(), 2U);
    expect_one_answer(true);
}

// As above; the agent's process began anew instead of its link. Its worker's
// next life gets the start before an order of the next process.
TEST_F(unanswered_start, does_not_begin_beside_another_run_after_a_new_process)
{
    hold_up_start(milliseconds(3700));
    const auto agent = start_run();
    fleet.kill_agent(agent);
    fleet.run_for(milliseconds(200));
    fleet.start_agent(agent);
    fleet.run_for(milliseconds(3350));
    workers.crash(agent, milliseconds(10), false, worker_time(0));
    fleet.run_for(seconds(2));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.began(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    fleet.run_for(seconds(25));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
    expect_one_answer(true);
}

// It is in the agent's hand again, which tells its end.
TEST_F(unanswered_start, is_left_to_the_agent_once_its_link_is_back)
{
    hold_up_start(std::chrono::hours(1));
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    fleet.run_for(seconds(5));
    fleet.separate(0, agent, false);
    EXPECT_EQ(workers.began(), 0U);
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.began(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    expect_one_answer(true);
}

TEST_F(unanswered_start, is_held_no_longer_than_a_late_run_may_go_on)
{
    hold_up_start(std::chrono::hours(1));
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    const entry_options usual;
    fleet.run_for(max_late_run_time({}));
    EXPECT_EQ(workers.began(), 0U);
    fleet.run_for(usual.reconnect_timeout);
    EXPECT_EQ(workers.began(), 1U);
    fleet.run_for(seconds(4));
    expect_one_answer(true);
}

TEST_F(unanswered_start, ends_with_its_job_if_that_is_cancelled)
{
    hold_up_start(std::chrono::hours(1));
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    fleet.run_for(seconds(3));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    fleet.cancel(0, submission_id("job"));
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(workers.began(), 0U);
    expect_one_answer(false);
}

TEST_F(unanswered_start, ends_with_its_jobs_time)
{
    hold_up_start(std::chrono::hours(1));
    const auto agent = start_run(seconds(6));
    fleet.separate(0, agent, true);
    fleet.run_for(milliseconds(6200));
    EXPECT_EQ(workers.began(), 0U);
    expect_one_answer(false);
}

// Guards against a hold where there is nothing to wait for.
TEST_F(unanswered_start, holds_no_run_that_has_begun_behind_a_lost_link)
{
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    fleet.run_for(milliseconds(2200));
    EXPECT_EQ(workers.began(), 2U);
    fleet.run_for(seconds(4));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 0U);
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    expect_one_answer(true);
}

// The run and its answer reached the agent just before its end: the word of it
// takes one message.
TEST_F(unanswered_start, holds_no_run_of_an_agent_that_died_after_it_has_begun)
{
    submit(seconds(30));
    for (int n = 0; workers.began() == 0 && n < 1000; ++n)
        fleet.run_for(milliseconds(1));
    fleet.run_for(milliseconds(4));
    const std::size_t agent = workers.worker(0).runs().empty() ? 1 : 0;
    fleet.kill_agent(agent);
    workers.crash(agent, seconds(60), true);
    fleet.run_for(milliseconds(2200));
    EXPECT_EQ(workers.began(), 2U);
    fleet.run_for(seconds(4));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 0U);
    expect_one_answer(true);
}

// A drained agent's process ends once each result was sent.
TEST_F(unanswered_start, holds_nothing_while_agents_stop_in_turn)
{
    workers.work_time = [](const task_run&)
    {
        return milliseconds(150);
    };
    std::uint64_t jobs = 0;
    const auto submit_jobs = [&](int steps)
    {
        for (int n = 0; n < steps; ++n)
        {
            fleet.submit(0, job({.submission = submission_id(
                                     "job-" + std::to_string(jobs++)),
                                 .customer = customer_id("c"),
                                 .created = fleet.wall(),
                                 .time_limit = seconds(10),
                                 .idempotent = true,
                                 .tasks = std::vector<task>(2)}));
            fleet.run_for(milliseconds(100));
        }
    };
    for (std::size_t n = 0; n < 4; ++n)
    {
        const auto agent = n % 2;
        submit_jobs(20);
        fleet.agent(agent).drain();
        submit_jobs(20);
        ASSERT_TRUE(fleet.agent(agent).drained());
        fleet.kill_agent(agent);
        submit_jobs(5);
        fleet.start_agent(agent);
        submit_jobs(40);
    }
    fleet.run_for(seconds(10));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 0U);
    EXPECT_EQ(fleet.entry(0).counts().completed, jobs);
    EXPECT_EQ(workers.began(), 2 * jobs);
}

// Agents of an earlier version tell of no begin: their tasks move as before.
class untold_start : public unanswered_start
{
protected:
    untold_start() : unanswered_start(false)
    {
    }
};

TEST_F(untold_start, is_moved_after_the_time_to_reconnect)
{
    hold_up_start(std::chrono::hours(1));
    const auto agent = start_run();
    fleet.separate(0, agent, true);
    fleet.run_for(milliseconds(2200));
    EXPECT_EQ(workers.began(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 0U);
}

} // namespace

} // namespace lagoonquay
