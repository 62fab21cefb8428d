// Tests of paths on which a start without an answer may still begin beside
// another run of its task.
#include "late_start_fleet.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Three entries, and one job of one task.
class late_start_paths : public late_start_fleet
{
protected:
    late_start_paths() : late_start_fleet(3)
    {
    }

    //! The same job each time.
    void submit(std::size_t entry, duration time_limit)
    {
        if (!work || !is_dated)
            work = job({.submission = submission_id("job"),
                        .customer = customer_id("c"),
                        .created = fleet.wall(),
                        .dated = is_dated,
                        .time_limit = time_limit,
                        .idempotent = true,
                        .tasks = std::vector<task>(1)});
        fleet.submit(entry, *work);
    }

    //! The worker begins anew just before the held-up start arrives.
    void begin_life_before(duration delay)
    {
        const auto life = sent + delay - milliseconds(30);
        fleet.run_for(life - fleet.time().now());
        workers.crash(*first_agent, milliseconds(10), false, worker_time(0));
    }

    void separate_from_all(std::size_t agent)
    {
        for (std::size_t n = 0; n < 3; ++n)
            fleet.separate(n, agent, true);
    }

    bool is_dated = true;    //!< whether the job has a time of creation
    std::optional<job> work; //!< that was submitted
};

// The start is sent and carried out as late as it may be. Its agent is dead, so
// the run lasts as long as its lease, which may be the longest in a next life.
TEST_F(late_start_paths, begins_last_and_goes_on_beside_the_moved_run)
{
    const auto delay = milliseconds(14900);
    hold_up_start(delay);
    fleet.run_for(seconds(2));
    fleet.stall(0, 0, milliseconds(900));
    fleet.stall(0, 1, milliseconds(900));
    submit(0, seconds(40));
    fleet.run_for(milliseconds(1100));
    ASSERT_TRUE(first_agent);
    fleet.kill_agent(*first_agent);
    begin_life_before(delay);
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

// The job ends at its deadline; its caller sends it again, and gets the answer
// that is kept.
TEST_F(late_start_paths, begins_beside_a_job_that_was_sent_again)
{
    const auto delay = seconds(7);
    hold_up_start(delay);
    fleet.run_for(seconds(2));
    is_dated = false;
    submit(0, seconds(6));
    fleet.run_for(milliseconds(100));
    ASSERT_TRUE(first_agent);
    separate_from_all(*first_agent);
    fleet.run_for(milliseconds(6000));
    EXPECT_EQ(fleet.record().answers.size(), 1U);
    submit(1, seconds(6));
    begin_life_before(delay);
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

// The entry that holds the task dies, and another adopts the job.
TEST_F(late_start_paths, begins_beside_a_run_of_an_adopter)
{
    const auto delay = seconds(14);
    hold_up_start(delay);
    fleet.run_for(seconds(2));
    submit(0, seconds(30));
    fleet.run_for(milliseconds(100));
    ASSERT_TRUE(first_agent);
    separate_from_all(*first_agent);
    fleet.run_for(milliseconds(3000));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    fleet.kill_entry(0);
    fleet.run_for(milliseconds(200));
    submit(1, seconds(30));
    workers.work_time = [](const task_run&)
    {
        return seconds(12);
    };
    begin_life_before(delay);
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

// As above; the agent's process began anew, so no agent is out of reach.
TEST_F(late_start_paths, begins_beside_a_run_of_an_adopter_after_a_new_process)
{
    const auto delay = seconds(14);
    hold_up_start(delay);
    fleet.run_for(seconds(2) + milliseconds(40));
    submit(0, seconds(30));
    fleet.run_for(milliseconds(100));
    ASSERT_TRUE(first_agent);
    fleet.kill_agent(*first_agent);
    fleet.run_for(milliseconds(200));
    fleet.start_agent(*first_agent);
    fleet.run_for(milliseconds(3000));
    EXPECT_EQ(fleet.entry(0).counts().held_moves, 1U);
    fleet.kill_entry(0);
    fleet.run_for(milliseconds(200));
    submit(1, seconds(30));
    workers.work_time = [](const task_run&)
    {
        return seconds(12);
    };
    begin_life_before(delay);
    fleet.run_for(seconds(20));
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
    EXPECT_EQ(workers.open_cases(), 0U);
}

// Where nothing fails: agents that are idle or busy stop at any moment, and
// their processes end as soon as they are drained.
TEST_F(late_start_paths, hold_nothing_while_agents_stop_as_soon_as_drained)
{
    workers.work_time = [](const task_run& it)
    {
        return milliseconds(5 + 11 * (it.index.number() % 4));
    };
    fleet.run_for(seconds(2));
    std::uint64_t jobs = 0;
    const auto step = [&](duration span)
    {
        for (int n = 0; n < 2; ++n, ++jobs)
            fleet.submit(
                jobs % 3,
                job({.submission = submission_id("job-" + std::to_string(jobs)),
                     .customer = customer_id("c"),
                     .created = fleet.wall(),
                     .time_limit = seconds(10),
                     .idempotent = true,
                     .tasks = std::vector<task>(2)}));
        fleet.run_for(span);
    };
    for (std::size_t n = 0; n < 40; ++n)
    {
        const auto agent = n % 2;
        for (std::size_t k = 0; k < 20; ++k)
            step(milliseconds(47 + (n + k) % 11));
        fleet.run_for(std::chrono::microseconds(300 * (n % 13)));
        fleet.agent(agent).drain();
        for (int k = 0; k < 3000 && !fleet.agent(agent).drained(); ++k)
        {
            if (k % 20 == 0)
                step(milliseconds(30));
            else
                fleet.run_for(milliseconds(1));
        }
        ASSERT_TRUE(fleet.agent(agent).drained());
        fleet.kill_agent(agent);
        for (std::size_t k = 0; k < 5; ++k)
            step(milliseconds(120));
        fleet.start_agent(agent);
        for (std::size_t k = 0; k < 20; ++k)
            step(milliseconds(70));
    }
    fleet.run_for(seconds(12));
    std::uint64_t held = 0;
    std::uint64_t completed = 0;
    for (std::size_t n = 0; n < 3; ++n)
    {
        held += fleet.entry(n).counts().held_moves;
        completed += fleet.entry(n).counts().completed;
    }
    EXPECT_EQ(held, 0U);
    EXPECT_EQ(completed, jobs);
    EXPECT_EQ(workers.began(), 2 * jobs);
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
}

} // namespace

} // namespace lagoonquay
