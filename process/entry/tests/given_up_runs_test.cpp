// Runs of a job that its entry gives up, or may hold no longer, are stopped.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration run_time = seconds(4);
constexpr duration time_limit = seconds(1);
constexpr duration answer_retention = seconds(2); // of the fleet's entries

job job_of(const fake_fleet& fleet, duration limit, bool idempotent = true)
{
    return job({.submission = submission_id("s"),
                .customer = customer_id("c"),
                .created = fleet.wall(),
                .time_limit = limit,
                .idempotent = idempotent,
                .tasks = std::vector<task>(1)});
}

//! A fleet of two agents with one slot each, whose upstreams can stop runs.
class given_up_runs : public testing::Test
{
protected:
    given_up_runs()
    {
        fleet.run_time = [this](const upstream_call&)
        {
            return span;
        };
    }

    std::uint32_t running()
    {
        return fleet.agent(0).running() + fleet.agent(1).running();
    }

    //! Submits a job through the first entry, and lets its task start.
    void start_job(const job& work)
    {
        fleet.submit(0, work);
        fleet.run_for(milliseconds(50));
        EXPECT_EQ(running(), 1U);
    }

    const job_answer& last_answer() const
    {
        return fleet.record().answers.back();
    }

    fake_fleet fleet{{.agents = 2, .slots = 1, .upstreams_can_stop = true}};
    duration span = run_time;
};

} // namespace

// Guards against a run that went on after its caller was told to come back, and
// ran beside the one that the caller then started through another entry.
TEST_F(given_up_runs, of_a_job_whose_time_is_over_are_stopped)
{
    start_job(job_of(fleet, time_limit));
    fleet.run_for(time_limit + milliseconds(200));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_EQ(last_answer()->reason, failure_reason::deadline);
    EXPECT_EQ(running(), 0U);
}

TEST_F(given_up_runs, of_a_job_that_must_not_be_repeated_go_on)
{
    start_job(job_of(fleet, time_limit, false));
    fleet.run_for(time_limit + milliseconds(200));
    EXPECT_EQ(running(), 1U);
}

// The stop is no cancel by the caller: the job runs again when it is sent
// again.
TEST_F(given_up_runs, leave_no_answer_to_the_job_that_is_sent_again)
{
    const auto work = job_of(fleet, time_limit);
    start_job(work);
    fleet.run_for(time_limit + answer_retention + seconds(1));
    span = milliseconds(100);
    fleet.submit(1, work);
    fleet.run_for(seconds(2));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_TRUE(succeeded(last_answer())) << to_text(last_answer()->reason);
}

// Guards against an entry that was cut off from the ledger: its run went on
// while another entry, out of reach of the agent, adopted the job.
TEST_F(given_up_runs, of_a_claim_that_lapsed_are_stopped)
{
    start_job(job_of(fleet, seconds(20)));
    fleet.kill_entry(1);
    fleet.kill_entry(2);
    fleet.run_for(milliseconds(900));
    EXPECT_EQ(running(), 1U);
    fleet.run_for(milliseconds(1500));
    EXPECT_EQ(running(), 0U);
    EXPECT_TRUE(fleet.record().answers.empty());
}

// Guards against an adopter that started a task beside the first run of it: the
// agent was out of its reach, and the first holder was linked to it all along.
TEST_F(given_up_runs, end_before_an_adopter_starts_their_tasks)
{
    const auto work = job_of(fleet, seconds(20));
    start_job(work);
    const std::size_t busy = fleet.agent(0).running() > 0 ? 0 : 1;
    std::uint32_t starts = 0;
    fleet.on_start = [&](const upstream_call&)
    {
        ++starts;
        EXPECT_EQ(fleet.agent(busy).running(), 0U);
    };
    fleet.part_entry(0, true);
    fleet.separate(1, busy, true);
    fleet.submit(1, work);
    fleet.run_for(seconds(6));
    EXPECT_EQ(starts, 1U);
    EXPECT_EQ(running(), 1U);
}

} // namespace lagoonquay
