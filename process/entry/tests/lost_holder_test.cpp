// Claims of a holder that ended together with a majority of the replicas. Two
// of three entries end, of which the first holds the job.
#include "leased_workers.hpp"
#include "listed_ledger.hpp"

#include "lagoonquay/process/log.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class lost_holders : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        open_log({.level = log_level::error});
    }

    fake_fleet_options options()
    {
        fake_fleet_options found;
        found.agents = 4;
        workers.attach(found.hooks);
        return ledger.attach(found);
    }

    static job make_job(const std::string& name, bool repeatable = true,
                        duration time_limit = seconds(8))
    {
        return job({.submission = submission_id(name),
                    .customer = customer_id("c"),
                    .dated = false,
                    .time_limit = time_limit,
                    .idempotent = repeatable,
                    .tasks = std::vector<task>(2)});
    }

    void work_for(duration span)
    {
        workers.work_time = [span](const task_run&)
        {
            return span;
        };
    }

    //! Submits the job to the first entry, which ends with the second while the
    //! runs go on. The third one's replica hears nothing of it.
    void lose_holder(const job& work)
    {
        if (!workers.work_time)
            work_for(seconds(1));
        ledger.part(0, 2, true);
        fleet.submit(0, work);
        fleet.run_for(milliseconds(100));
        EXPECT_EQ(workers.began(), 2U);
        fleet.kill_entry(0);
        fleet.kill_entry(1);
        ledger.part(0, 2, false);
    }

    //! Takes the links between the third entry and the agents with runs away,
    //! so that it starts its tasks at the others.
    void part_from_runs()
    {
        for (std::size_t n = 0; n < 4; ++n)
            fleet.separate(2, n, !workers.worker(n).runs().empty());
    }

    void expect_no_violation()
    {
        EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
        EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
    }

    listed_ledger ledger{fleet, {}};
    leased_workers workers{fleet, {}};
    fake_fleet fleet{options()};
};

} // namespace

// Guards against two runs of a task at the same time: the last entry granted
// itself the claim alone, as one vote of one replica was a quorum at once.
TEST_F(lost_holders, have_no_run_left_when_the_job_is_claimed_again)
{
    const auto work = make_job("job", true, seconds(30));
    lose_holder(work);
    part_from_runs();
    fleet.submit(2, work);
    fleet.run_for(seconds(7));
    expect_no_violation();
    fleet.run_for(max_late_run_time({}));
    expect_no_violation();
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
}

// Guards against a number of an attempt that was given out twice.
TEST_F(lost_holders, leave_no_attempt_number_to_the_next_holder)
{
    std::set<std::pair<std::uint64_t, attempt_number>> begun;
    workers.work_time = [&](const task_run& run)
    {
        EXPECT_TRUE(begun.emplace(run.index.number(), run.attempt).second)
            << "task " << run.index.number() << " attempt "
            << run.attempt.number();
        return seconds(1);
    };
    const auto work = make_job("job", true, seconds(30));
    lose_holder(work);
    part_from_runs();
    fleet.submit(2, work);
    fleet.run_for(seconds(7) + max_late_run_time({}));
    EXPECT_EQ(begun.size(), 4U);
}

// Guards against a caller who was told that a job was not run, of which the
// lost holder had begun each task.
TEST_F(lost_holders, have_no_task_reported_as_not_run)
{
    lose_holder(make_job("job"));
    fleet.submit(2, make_job("job"));
    fleet.cancel(2, submission_id("job"));
    fleet.run_for(seconds(9));
    EXPECT_EQ(fleet.record().answers.size(), 1U);
    expect_no_violation();
}

// Guards against a task that must not be repeated and starts twice.
TEST_F(lost_holders, leave_tasks_that_must_not_be_repeated)
{
    lose_holder(make_job("job", false));
    part_from_runs();
    for (int n = 0; n < 4; ++n)
    {
        fleet.submit(2, make_job("job", false));
        fleet.run_for(seconds(1));
    }
    EXPECT_EQ(fleet.record().answers.size(), 4U);
    EXPECT_EQ(workers.began(), 2U);
    expect_no_violation();
}

// Guards against such a task that starts twice: the holder ended, and the only
// other entry that knew of its claim restarted a second later.
TEST_F(lost_holders, leave_such_tasks_as_their_voter_restarts_later)
{
    fleet.run_for(seconds(4));
    work_for(seconds(1));
    ledger.part(0, 2, true);
    fleet.submit(0, make_job("job", false));
    fleet.run_for(milliseconds(100));
    EXPECT_EQ(workers.began(), 2U);
    fleet.kill_entry(0);
    ledger.part(0, 2, false);
    part_from_runs();
    fleet.run_for(seconds(1));
    fleet.kill_entry(1);
    fleet.run_for(milliseconds(300));
    fleet.start_entry(1);
    while (!ledger.complete(1))
        fleet.run_for(milliseconds(20));
    for (int n = 0; n < 4; ++n)
    {
        fleet.submit(2, make_job("job", false));
        fleet.run_for(milliseconds(400));
    }
    EXPECT_FALSE(fleet.record().answers.empty());
    EXPECT_EQ(workers.began(), 2U);
    expect_no_violation();
}

// Guards against the end of a users' record: a run that is stopped 44 ms after
// its begin, beside the next holder's. The lost holder's next process greets
// the agents, which stop its runs at once.
TEST_F(lost_holders, have_no_run_left_though_they_begin_anew_at_once)
{
    ledger.part(0, 2, true);
    work_for(seconds(1));
    fleet.submit(0, make_job("job"));
    while (workers.began() < 2)
        fleet.run_for(milliseconds(1));
    fleet.kill_entry(0);
    fleet.kill_entry(1);
    ledger.part(0, 2, false);
    part_from_runs();
    fleet.submit(2, make_job("job"));
    fleet.run_for(milliseconds(30));
    fleet.start_entry(0);
    fleet.run_for(seconds(7));
    expect_no_violation();
}

TEST_F(lost_holders, have_results_that_agents_kept)
{
    work_for(milliseconds(150));
    lose_holder(make_job("job"));
    fleet.run_for(milliseconds(100));
    fleet.submit(2, make_job("job"));
    fleet.run_for(seconds(4));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
    EXPECT_EQ(workers.began(), 2U);
    expect_no_violation();
}

// New jobs wait until no run of a lost holder can go on, and are then served.
TEST_F(lost_holders, delay_other_jobs_by_no_more_than_their_runs_may_last)
{
    workers.work_time = [](const task_run& run)
    {
        return run.submission == submission_id("job") ? seconds(1)
                                                      : milliseconds(50);
    };
    lose_holder(make_job("job"));
    for (int n = 0; n < 4; ++n)
    {
        fleet.submit(2, make_job("other-" + std::to_string(n)));
        fleet.run_for(milliseconds(500));
    }
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.record().answers.size(), 4U);
    fleet.submit(2, make_job("late"));
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.record().answers.size(), 5U);
    for (const auto& it : fleet.record().answers)
        EXPECT_TRUE(succeeded(it)) << to_text(it->reason);
    expect_no_violation();
}

// The holder lives: it renews its claim and starts its tasks at once.
TEST_F(lost_holders, are_not_meant_by_a_holder_that_lives)
{
    work_for(seconds(3));
    fleet.submit(2, make_job("job"));
    fleet.run_for(milliseconds(100));
    EXPECT_EQ(workers.began(), 2U);
    fleet.kill_entry(0);
    fleet.kill_entry(1);
    fleet.run_for(milliseconds(3100));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
    EXPECT_EQ(workers.began(), 2U);
    expect_no_violation();
}

// Guards against a job that its living holder gave up as taken over: its claim
// had lapsed in a cut, and then a majority of the replicas was gone.
TEST_F(lost_holders, are_not_assumed_by_a_holder_whose_claim_lapsed)
{
    work_for(seconds(4));
    const auto work = make_job("job").with([](job_options& it)
                                           { it.time_limit = seconds(30); });
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    ledger.part(0, 1, true);
    ledger.part(0, 2, true);
    fleet.run_for(seconds(2));
    fleet.kill_entry(1);
    fleet.kill_entry(2);
    ledger.join_all();
    // Renewals are put off for the delay; only those after it are granted.
    fleet.run_for(lost_holder_delay + listed_ledger_options().lease);
    EXPECT_EQ(fleet.record().answers.size(), 0U);
    fleet.start_entry(1);
    fleet.start_entry(2);
    fleet.run_for(seconds(20));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
    expect_no_violation();
}

} // namespace lagoonquay
