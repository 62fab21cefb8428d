// The cause of each kind of failure can be told from the lines of the log.
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

// Until then an entry reckons with workers that it has not heard of.
constexpr auto fleet_known = seconds(7);

//! Three entries and two agents whose lines are kept.
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

    //! @return the only line of an event about the job.
    log_line line_of(const std::string& event)
    {
        std::vector<log_line> own;
        for (auto& it : log_.events(event))
        {
            if (it["submission"] == id)
                own.push_back(it);
        }
        EXPECT_EQ(own.size(), 1U) << event;
        return own.empty() ? log_line() : own.front();
    }

private:
    //! Before the fleet, which writes from its start on.
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

} // namespace

} // namespace lagoonquay
