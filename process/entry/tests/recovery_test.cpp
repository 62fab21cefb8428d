// Killed and frozen processes and closed links at fixed moments, on virtual
// time.
#include "fake_fleet.hpp"
#include "lagoonquay/process/log.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

job job_of(const fake_fleet& fleet, std::size_t tasks, bool idempotent = false)
{
    return job({.submission = submission_id("s"),
                .customer = customer_id("c"),
                .created = fleet.wall(),
                .time_limit = seconds(10),
                .idempotent = idempotent,
                .tasks = std::vector<task>(tasks)});
}

class recovery : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        open_log({.level = log_level::error});
    }

    void TearDown() override
    {
        for (const auto& it : fleet.record().violations)
            ADD_FAILURE() << it;
    }

    std::uint64_t starts() const
    {
        std::uint64_t total = 0;
        for (const auto& [key, n] : fleet.record().starts)
            total += n;
        return total;
    }

    //! Submits a job through the first entry, and lets its tasks start.
    void start_job(duration run, std::size_t tasks, bool idempotent = false)
    {
        set_run_time(run);
        fleet.submit(0, job_of(fleet, tasks, idempotent));
        fleet.run_for(milliseconds(50));
    }

    //! Submits a job through the first entry, and runs the fleet for 500 ms, in
    //! which the job ends.
    job submit_and_end()
    {
        const auto work = job_of(fleet, 2);
        fleet.submit(0, work);
        fleet.run_for(milliseconds(500));
        return work;
    }

    //! Restarts an entry, which empties its ledger replica.
    void restart_entry(std::size_t n)
    {
        fleet.kill_entry(n);
        fleet.start_entry(n);
    }

    void set_run_time(duration span)
    {
        fleet.run_time = [span](const upstream_call&)
        {
            return span;
        };
    }

    job_answer only_answer() const
    {
        EXPECT_EQ(fleet.record().answers.size(), 1U);
        return fleet.record().answers.empty() ? job_answer()
                                              : fleet.record().answers.front();
    }

    //! @return the agent that runs the only task.
    std::size_t busy_agent()
    {
        for (std::size_t n = 0; n < 3; ++n)
        {
            if (fleet.agent(n).running() > 0)
                return n;
        }
        ADD_FAILURE() << "no agent runs a task";
        return 0;
    }

    fake_fleet fleet{{}};
};

TEST_F(recovery, answers_a_job_with_all_results)
{
    fleet.submit(0, job_of(fleet, 4));
    fleet.run_for(seconds(1));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 4U);
}

TEST_F(recovery, a_cancel_before_the_claim_takes_effect)
{
    fleet.submit(0, job_of(fleet, 2));
    EXPECT_TRUE(fleet.entry(0).cancel_here(submission_id("s")));
    fleet.run_for(seconds(1));
    EXPECT_EQ(only_answer()->reason, failure_reason::cancelled);
    EXPECT_EQ(only_answer()->ran, effect::not_run);
    EXPECT_EQ(starts(), 0U);
}

TEST_F(recovery, a_deadline_before_the_claim_ends_the_job)
{
    auto work = job_of(fleet, 1).with([](job_options& it)
                                      { it.time_limit = milliseconds(60); });
    fleet.kill_entry(1);
    fleet.kill_entry(2);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(150));
    EXPECT_EQ(only_answer()->reason, failure_reason::deadline);
    EXPECT_EQ(only_answer()->ran, effect::unknown);
}

TEST_F(recovery, a_result_sent_to_a_closed_link_is_recovered)
{
    start_job(milliseconds(100), 1);
    const auto n = busy_agent();
    fleet.separate(0, n, true);
    fleet.run_for(milliseconds(200));
    fleet.separate(0, n, false);
    fleet.run_for(seconds(1));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().recovered, 1U);
}

TEST_F(recovery, a_task_that_still_runs_after_a_cut_is_not_started_again)
{
    start_job(milliseconds(600), 1);
    fleet.cut(0, busy_agent());
    fleet.run_for(seconds(2));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 1U);
}

TEST_F(recovery, a_dispatch_lost_with_its_link_is_requeued)
{
    fleet.submit(0, job_of(fleet, 1));
    while (fleet.entry(0).counts().dispatched == 0)
        fleet.run_for(duration(100));
    for (std::size_t n = 0; n < 3; ++n)
        fleet.cut(0, n);
    fleet.run_for(seconds(2));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 1U);
    EXPECT_EQ(fleet.entry(0).counts().requeued, 1U);
}

// The dispatch is still in flight on the old link when the entry queries the
// agent on a new one.
TEST_F(recovery, a_dispatch_that_arrives_after_the_query_never_starts)
{
    for (std::size_t n = 0; n < 3; ++n)
        fleet.stall(0, n, milliseconds(400));
    fleet.submit(0, job_of(fleet, 4));
    fleet.run_for(milliseconds(10));
    for (std::size_t n = 0; n < 3; ++n)
        fleet.cut(0, n, false);
    fleet.run_for(seconds(2));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 4U);
}

TEST_F(recovery, a_new_incarnation_of_the_agent_fails_the_job_as_link_lost)
{
    start_job(milliseconds(500), 1);
    const auto n = busy_agent();
    fleet.kill_agent(n);
    fleet.start_agent(n);
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(only_answer()->reason, failure_reason::link_lost);
    EXPECT_EQ(only_answer()->ran, effect::unknown);
    EXPECT_EQ(starts(), 1U);
}

// The new incarnation has no record of what the earlier one started, so it
// can't confirm that the task did not run.
TEST_F(recovery, a_new_incarnation_of_the_agent_confirms_no_cancel)
{
    start_job(milliseconds(500), 1);
    const auto n = busy_agent();
    fleet.kill_agent(n);
    fleet.start_agent(n);
    for (int tries = 0; tries < 100; ++tries)
    {
        fleet.entry(0).cancel_here(submission_id("s"));
        fleet.run_for(milliseconds(1));
    }
    fleet.run_for(seconds(1));
    EXPECT_EQ(only_answer()->ran, effect::unknown);
}

TEST_F(recovery, an_agent_that_stays_disconnected_fails_the_job_after_the_grace)
{
    start_job(milliseconds(500), 1);
    fleet.kill_agent(busy_agent());
    fleet.run_for(milliseconds(800));
    EXPECT_TRUE(fleet.record().answers.empty());
    fleet.run_for(milliseconds(500));
    EXPECT_EQ(only_answer()->reason, failure_reason::link_lost);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(recovery, an_idempotent_task_is_retried_on_another_agent)
{
    start_job(milliseconds(500), 1, true);
    fleet.kill_agent(busy_agent());
    fleet.run_for(seconds(4));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 2U);
    EXPECT_EQ(fleet.entry(0).counts().retried, 1U);
}

TEST_F(recovery, the_result_of_a_running_task_is_taken_after_a_cancel)
{
    start_job(milliseconds(300), 1);
    EXPECT_TRUE(fleet.entry(0).cancel_here(submission_id("s")));
    fleet.run_for(seconds(1));
    EXPECT_TRUE(succeeded(only_answer()));
}

TEST_F(recovery, nothing_is_dispatched_after_the_claim_expired)
{
    start_job(milliseconds(3000), 8);
    EXPECT_EQ(starts(), 6U);
    fleet.kill_entry(1);
    fleet.kill_entry(2);
    fleet.run_for(seconds(11));
    EXPECT_EQ(starts(), 6U);
    EXPECT_EQ(only_answer()->reason, failure_reason::ledger_unavailable);
    EXPECT_NE(only_answer()->detail.find("could not be renewed"),
              std::string::npos);
    EXPECT_EQ(only_answer()->ran, effect::ran);
    const auto answer = only_answer();
    for (const auto& it : answer->failures)
        EXPECT_EQ(it->ran, effect::unknown);
}

TEST_F(recovery, another_entry_adopts_the_job_of_a_killed_one)
{
    fleet.run_time = [](const upstream_call& it)
    {
        return milliseconds(it.index.number() < 2 ? 100 : 2500);
    };
    const auto work = job_of(fleet, 8);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(200));
    fleet.kill_entry(0);
    const auto before = starts();
    fleet.submit(1, work);
    fleet.run_for(seconds(8));
    EXPECT_LT(before, 9U);
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 8U);
    EXPECT_EQ(fleet.entry(1).counts().adopted, 1U);
    EXPECT_GE(fleet.entry(1).counts().recovered, 4U);
}

TEST_F(recovery, an_adopter_gathers_the_answer_of_a_finished_job)
{
    const auto work = job_of(fleet, 4);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(500));
    fleet.kill_entry(0);
    fleet.submit(2, work);
    fleet.run_for(seconds(4));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_EQ(fleet.record().answers[0], fleet.record().answers[1]);
    EXPECT_EQ(starts(), 4U);
}

TEST_F(recovery, a_lost_agent_in_the_reach_fails_the_adopted_job)
{
    set_run_time(milliseconds(1500));
    const auto work = job_of(fleet, 8);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(50));
    fleet.kill_entry(0);
    fleet.kill_agent(0);
    fleet.start_agent(0);
    fleet.submit(1, work);
    fleet.run_for(seconds(8));
    EXPECT_EQ(only_answer()->reason, failure_reason::link_lost);
    EXPECT_NE(only_answer()->ran, effect::not_run);
    EXPECT_EQ(starts(), 6U);
}

TEST_F(recovery, a_frozen_entry_starts_nothing_after_it_lost_its_job)
{
    set_run_time(milliseconds(300));
    const auto work = job_of(fleet, 20);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    fleet.freeze_entry(0, true);
    fleet.submit(1, work);
    fleet.run_for(milliseconds(2500));
    fleet.freeze_entry(0, false);
    fleet.run_for(seconds(8));
    EXPECT_EQ(starts(), 20U);
    EXPECT_EQ(fleet.entry(1).counts().adopted, 1U);
    EXPECT_EQ(fleet.entry(1).counts().completed, 1U);
}

TEST_F(recovery, a_resubmission_is_forwarded_to_the_live_holder)
{
    set_run_time(milliseconds(400));
    const auto work = job_of(fleet, 2);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    fleet.submit(1, work);
    fleet.run_for(seconds(1));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_TRUE(succeeded(fleet.record().answers[1]));
    EXPECT_EQ(starts(), 2U);
    EXPECT_EQ(fleet.entry(1).counts().adopted, 0U);
}

// The agent stops the runs of a disconnected entry, which then reconnects.
TEST(recovery_of_stopped_runs, a_run_stopped_by_its_agent_runs_again)
{
    fake_fleet fleet({.agents = 1, .upstreams_can_stop = true});
    fleet.run_time = [](const upstream_call&)
    {
        return milliseconds(900);
    };
    fleet.run_for(milliseconds(100));
    fleet.submit(0, job_of(fleet, 1, true));
    fleet.run_for(milliseconds(100));
    fleet.separate(0, 0, true);
    fleet.cut(0, 0);
    fleet.run_for(milliseconds(800));
    fleet.separate(0, 0, false);
    fleet.run_for(seconds(4));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    const auto& answer = fleet.record().answers.front();
    EXPECT_TRUE(succeeded(answer)) << to_text(answer->reason);
    EXPECT_EQ(fleet.record().starts.begin()->second, 2U);
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
}

// The agent keeps the result of the failed run, and has no free slot when the
// task is dispatched again. The failure must not use up a second attempt.
TEST(recovery_of_failed_runs, a_failure_that_is_reported_twice_counts_once)
{
    fake_fleet fleet({.agents = 1, .slots = 1});
    const submission_id failing("failing");
    fleet.run_time = [&](const upstream_call& call)
    {
        return call.submission == failing ? milliseconds(50)
                                          : milliseconds(400);
    };
    fleet.fails = [&](const upstream_call& call)
    {
        return call.submission == failing && fleet.record().starts.size() < 2 &&
               fleet.record().starts.begin()->second == 1;
    };
    fleet.run_for(milliseconds(100));
    fleet.submit(0, job_of(fleet, 1, true)
                        .with(
                            [&](job_options& it)
                            {
                                it.submission = failing;
                                it.attempts = 2;
                            }));
    fleet.run_for(milliseconds(45));
    fleet.submit(1, job_of(fleet, 1));
    fleet.run_for(seconds(2));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    for (const auto& it : fleet.record().answers)
        EXPECT_TRUE(succeeded(it))
            << it->submission.text() << " " << it->detail;
    EXPECT_EQ(fleet.record().starts.at({failing, task_index(0)}), 2U);
}

TEST_F(recovery,
       an_entry_waits_for_the_claim_of_its_earlier_incarnation_to_expire)
{
    set_run_time(milliseconds(1500));
    const auto work = job_of(fleet, 2);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    fleet.kill_entry(0);
    fleet.start_entry(0);
    fleet.run_for(milliseconds(400));
    fleet.submit(0, work);
    fleet.run_for(seconds(5));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(starts(), 2U);
}

TEST_F(recovery, a_submission_is_refused_when_every_replica_lost_its_record)
{
    const auto work = submit_and_end();
    for (std::size_t n = 0; n < 3; ++n)
        restart_entry(n);
    fleet.run_for(seconds(2));
    EXPECT_TRUE(fleet.entry(1).ready());
    fleet.submit(1, work);
    fleet.run_for(seconds(2));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_EQ(fleet.record().answers[1]->reason, failure_reason::fenced);
    EXPECT_EQ(fleet.record().answers[1]->ran, effect::unknown);
    EXPECT_EQ(starts(), 2U);
}

TEST_F(recovery, a_resubmission_succeeds_when_one_replica_lost_its_records)
{
    const auto work = submit_and_end();
    restart_entry(0);
    fleet.run_for(seconds(1));
    fleet.submit(0, work);
    fleet.run_for(seconds(4));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_TRUE(succeeded(fleet.record().answers[1]));
    EXPECT_EQ(starts(), 2U);
}

TEST_F(recovery,
       two_replicas_that_lost_their_records_in_turn_start_nothing_twice)
{
    const auto work = submit_and_end();
    for (std::size_t n = 1; n < 3; ++n)
    {
        restart_entry(n);
        fleet.run_for(seconds(1));
    }
    fleet.submit(1, work);
    fleet.run_for(seconds(4));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_EQ(fleet.record().answers[1]->ran, effect::unknown);
    EXPECT_EQ(starts(), 2U);
}

TEST_F(recovery, an_entry_is_ready_when_a_quorum_has_passed_its_fence)
{
    for (std::size_t n = 0; n < 3; ++n)
    {
        fleet.kill_entry(n);
        fleet.start_entry(n);
    }
    fleet.run_for(milliseconds(150));
    EXPECT_FALSE(fleet.entry(0).ready());
    fleet.run_for(milliseconds(500));
    EXPECT_TRUE(fleet.entry(0).ready());
}

TEST_F(recovery, a_draining_agent_ends_its_runs_and_other_agents_run_the_rest)
{
    start_job(milliseconds(200), 12);
    fleet.agent(0).drain();
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.agent(0).running(), 0U);
    const auto ended = fleet.agent(0).counts().started;
    fleet.run_for(seconds(2));
    EXPECT_TRUE(succeeded(only_answer()));
    EXPECT_EQ(fleet.agent(0).counts().started, ended);
    EXPECT_EQ(starts(), 12U);
}

TEST_F(recovery, a_draining_entry_answers_the_jobs_that_it_accepted)
{
    set_run_time(milliseconds(200));
    const auto work = job_of(fleet, 12);
    fleet.submit(0, work);
    fleet.run_for(milliseconds(50));
    fleet.entry(0).drain();
    EXPECT_FALSE(fleet.entry(0).ready());
    fleet.submit(0, work);
    fleet.run_for(seconds(2));
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_TRUE(succeeded(fleet.record().answers[1]));
}

} // namespace

} // namespace lagoonquay
