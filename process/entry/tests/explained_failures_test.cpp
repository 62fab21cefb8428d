// The log events of a job show the cause of each kind of failure.
#include "fake_fleet.hpp"
#include "fake_log_reader.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string id = "s";

// For 5 s after the first job that finds a usable slot, an entry calls no need
// impossible, because it may not have seen all workers yet.
constexpr auto worker_discovery_time = seconds(7);

//! Three entries and two agents whose log lines are recorded.
class failure_log_test : public testing::Test
{
protected:
    failure_log_test()
    {
        fleet.submit(0, job({.submission = submission_id("first"),
                             .customer = customer_id("c"),
                             .created = fleet.wall(),
                             .time_limit = seconds(5),
                             .tasks = std::vector<task>(1)}));
        fleet.run_for(worker_discovery_time);
    }

    ~failure_log_test() override
    {
        close_log();
    }

    void submit(job_options work)
    {
        work.submission = submission_id(id);
        work.customer = customer_id("c");
        work.created = fleet.wall();
        if (work.tasks.empty())
            work.tasks = std::vector<task>(1);
        fleet.submit(0, job(std::move(work)));
        fleet.run_for(seconds(6));
        close_log();
    }

    //! @return the log lines of an event about the job.
    std::vector<log_line> job_events(const std::string& event)
    {
        std::vector<log_line> own;
        for (auto& it : log_.events(event))
        {
            if (it["submission"] == id)
                own.push_back(it);
        }
        return own;
    }

    //! Fails the test unless there is one such line. @return that line.
    log_line single_job_event(const std::string& event)
    {
        const auto own = job_events(event);
        EXPECT_EQ(own.size(), 1U) << event;
        return own.empty() ? log_line() : own.front();
    }

private:
    //! Opens the log before the fleet is made, which logs from its start on.
    static bool begin_log(fake_log_reader& reader)
    {
        open_log({.format = log_format::json_lines, .process = "all"},
                 reader.output());
        return true;
    }

    fake_log_reader log_;
    const bool logging_ = begin_log(log_);

protected:
    fake_fleet fleet{{.agents = 2}};
};

TEST_F(failure_log_test, shows_that_the_entry_is_draining)
{
    fleet.entry(0).drain();
    submit({.time_limit = seconds(5)});
    EXPECT_EQ(single_job_event("refused")["reason"], "no_permit");
}

TEST_F(failure_log_test, shows_a_need_that_no_worker_has)
{
    task_options large;
    large.need = {1000000, 0, 0};
    submit({.time_limit = seconds(5), .tasks = {task(large)}});
    const auto line = single_job_event("refused");
    EXPECT_EQ(line.at("reason"), "impossible_need");
    EXPECT_NE(line.at("detail").find("no worker has enough"),
              std::string::npos);
}

TEST_F(failure_log_test, shows_work_that_can_not_end_before_its_deadline)
{
    task_options slow;
    slow.kind = "slow";
    slow.declared_run = seconds(60);
    submit({.time_limit = seconds(5), .tasks = {task(slow)}});
    EXPECT_EQ(single_job_event("refused")["reason"], "overloaded");
    const auto not_admitted = single_job_event("not_admitted");
    EXPECT_EQ(not_admitted.at("longest_ms"), "60000");
    EXPECT_EQ(not_admitted.at("limit_ms"), "5000");
    EXPECT_EQ(not_admitted.at("slots"), "4");
}

TEST_F(failure_log_test, shows_a_deadline_that_passes_during_the_run)
{
    fleet.run_time = [](const upstream_call&)
    {
        return seconds(3);
    };
    submit({.time_limit = seconds(1)});
    const auto started = single_job_event("started");
    EXPECT_EQ(started.at("part"), "agent");
    const auto answered = single_job_event("answered");
    EXPECT_EQ(answered.at("reason"), "deadline");
    EXPECT_EQ(single_job_event("ended")["ran_ms"], "3000");
}

TEST_F(failure_log_test, shows_the_loss_of_the_agent_with_the_task)
{
    fleet.run_time = [](const upstream_call&)
    {
        return seconds(3);
    };
    fleet.on_start = [this](const upstream_call&)
    {
        fleet.time().after(milliseconds(100),
                           [this]
                           {
                               fleet.kill_agent(0);
                               fleet.kill_agent(1);
                           });
    };
    submit({.time_limit = seconds(5)});
    const auto placed = single_job_event("placed");
    const auto ended = single_job_event("task_ended");
    EXPECT_EQ(ended.at("reason"), "link_lost");
    EXPECT_EQ(ended.at("agent"), placed.at("agent"));
    EXPECT_EQ(ended.at("then"), "kept");
    EXPECT_EQ(single_job_event("answered")["reason"], "link_lost");
}

TEST_F(failure_log_test, shows_a_submission_id_used_with_other_content)
{
    fleet.submit(1, job({.submission = submission_id(id),
                         .customer = customer_id("c"),
                         .created = fleet.wall(),
                         .time_limit = seconds(4),
                         .tasks = std::vector<task>(2)}));
    fleet.run_for(milliseconds(200));
    submit({.time_limit = seconds(5)});
    const auto refused = single_job_event("refused");
    EXPECT_EQ(refused.at("reason"), "content_mismatch");
    EXPECT_EQ(single_job_event("not_claimed")["status"], "mismatch");
}

TEST_F(failure_log_test, shows_that_another_entry_took_over_the_claim)
{
    fleet.run_time = [](const upstream_call&)
    {
        return milliseconds(300);
    };
    const job work({.submission = submission_id(id),
                    .customer = customer_id("c"),
                    .created = fleet.wall(),
                    .time_limit = seconds(10),
                    .tasks = std::vector<task>(20)});
    fleet.submit(0, work);
    fleet.run_for(milliseconds(100));
    fleet.freeze_entry(0, true);
    fleet.submit(1, work);
    fleet.run_for(milliseconds(2500));
    fleet.freeze_entry(0, false);
    fleet.run_for(seconds(8));
    close_log();
    const auto claims = job_events("claimed");
    ASSERT_EQ(claims.size(), 2U);
    EXPECT_EQ(claims[0].at("adopts"), "no");
    EXPECT_EQ(claims[1].at("adopts"), "yes");
    EXPECT_LT(claims[0].at("round"), claims[1].at("round"));
    EXPECT_FALSE(job_events("not_claimed").empty());
}

TEST_F(failure_log_test, shows_a_task_declined_by_a_full_worker)
{
    fleet.run_time = [](const upstream_call&)
    {
        return milliseconds(400);
    };
    fleet.submit(1, job({.submission = submission_id("busy"),
                         .customer = customer_id("c"),
                         .created = fleet.wall(),
                         .time_limit = seconds(5),
                         .tasks = std::vector<task>(4)}));
    submit({.time_limit = seconds(5)});
    const auto declines = job_events("declined");
    const auto moves = job_events("task_ended");
    ASSERT_FALSE(declines.empty());
    ASSERT_EQ(moves.size(), declines.size());
    EXPECT_EQ(declines[0].at("reason"), "no_room");
    EXPECT_EQ(moves[0].at("then"), "moves");
    EXPECT_EQ(single_job_event("answered")["outcome"], "complete");
}

} // namespace

} // namespace lagoonquay
