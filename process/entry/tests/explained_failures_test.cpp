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

// Before this time an entry allows for workers that it has not seen yet.
constexpr auto fleet_known = seconds(7);

//! Three entries and two agents whose log lines are recorded.
class explained_failures : public testing::Test
{
protected:
    explained_failures()
    {
        fleet.submit(0, job({.submission = submission_id("first"),
                             .customer = customer_id("c"),
                             .created = fleet.wall(),
                             .time_limit = seconds(5),
                             .tasks = std::vector<task>(1)}));
        fleet.run_for(fleet_known);
    }

    ~explained_failures() override
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
    std::vector<log_line> lines_of(const std::string& event)
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
    log_line line_of(const std::string& event)
    {
        const auto own = lines_of(event);
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

TEST_F(explained_failures, an_entry_that_is_drained)
{
    fleet.entry(0).drain();
    submit({.time_limit = seconds(5)});
    EXPECT_EQ(line_of("refused")["reason"], "no_permit");
}

TEST_F(explained_failures, a_need_that_no_worker_holds)
{
    task_options large;
    large.need = {1000000, 0, 0};
    submit({.time_limit = seconds(5), .tasks = {task(large)}});
    const auto line = line_of("refused");
    EXPECT_EQ(line.at("reason"), "impossible_need");
    EXPECT_NE(line.at("detail").find("no worker has enough"),
              std::string::npos);
}

TEST_F(explained_failures, work_that_can_not_end_in_time)
{
    task_options slow;
    slow.kind = "slow";
    slow.declared_run = seconds(60);
    submit({.time_limit = seconds(5), .tasks = {task(slow)}});
    EXPECT_EQ(line_of("refused")["reason"], "overloaded");
    const auto weighed = line_of("not_admitted");
    EXPECT_EQ(weighed.at("longest_ms"), "60000");
    EXPECT_EQ(weighed.at("limit_ms"), "5000");
    EXPECT_EQ(weighed.at("slots"), "4");
}

TEST_F(explained_failures, a_deadline_that_passes_while_the_task_runs)
{
    fleet.run_time = [](const upstream_call&)
    {
        return seconds(3);
    };
    submit({.time_limit = seconds(1)});
    const auto started = line_of("started");
    EXPECT_EQ(started.at("part"), "agent");
    const auto answered = line_of("answered");
    EXPECT_EQ(answered.at("reason"), "deadline");
    EXPECT_EQ(line_of("ended")["ran_ms"], "3000");
}

TEST_F(explained_failures, an_agent_that_is_lost_with_the_task)
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
    const auto placed = line_of("placed");
    const auto ended = line_of("task_ended");
    EXPECT_EQ(ended.at("reason"), "link_lost");
    EXPECT_EQ(ended.at("agent"), placed.at("agent"));
    EXPECT_EQ(ended.at("then"), "kept");
    EXPECT_EQ(line_of("answered")["reason"], "link_lost");
}

TEST_F(explained_failures, an_id_that_was_used_with_other_content)
{
    fleet.submit(1, job({.submission = submission_id(id),
                         .customer = customer_id("c"),
                         .created = fleet.wall(),
                         .time_limit = seconds(4),
                         .tasks = std::vector<task>(2)}));
    fleet.run_for(milliseconds(200));
    submit({.time_limit = seconds(5)});
    const auto refused = line_of("refused");
    EXPECT_EQ(refused.at("reason"), "content_mismatch");
    EXPECT_EQ(line_of("not_claimed")["status"], "mismatch");
}

TEST_F(explained_failures, a_claim_that_another_entry_took_over)
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
    const auto claims = lines_of("claimed");
    ASSERT_EQ(claims.size(), 2U);
    EXPECT_EQ(claims[0].at("adopts"), "no");
    EXPECT_EQ(claims[1].at("adopts"), "yes");
    EXPECT_LT(claims[0].at("round"), claims[1].at("round"));
    EXPECT_FALSE(lines_of("not_claimed").empty());
}

TEST_F(explained_failures, a_task_that_a_full_worker_handed_back)
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
    const auto declines = lines_of("declined");
    const auto moves = lines_of("task_ended");
    ASSERT_FALSE(declines.empty());
    ASSERT_EQ(moves.size(), declines.size());
    EXPECT_EQ(declines[0].at("reason"), "no_room");
    EXPECT_EQ(moves[0].at("then"), "moves");
    EXPECT_EQ(line_of("answered")["outcome"], "complete");
}

} // namespace

} // namespace lagoonquay
