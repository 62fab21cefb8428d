#include "lagoonquay/process/log.hpp"
#include "leased_workers.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class leased_fleet : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        open_log({.level = log_level::error});
    }

    static fake_fleet_options with_workers(leased_workers& workers)
    {
        fake_fleet_options options;
        options.agents = 2;
        workers.attach(options.hooks);
        return options;
    }

    job make_job(std::size_t tasks) const
    {
        return job({.submission = submission_id("job"),
                    .customer = customer_id("c"),
                    .created = fleet.wall(),
                    .time_limit = seconds(8),
                    .idempotent = true,
                    .tasks = std::vector<task>(tasks)});
    }

    leased_workers workers{fleet, {}};
    fake_fleet fleet{with_workers(workers)};
};

TEST_F(leased_fleet, a_job_completes_on_calm_workers)
{
    fleet.submit(0, make_job(20));
    fleet.run_for(seconds(3));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
    EXPECT_EQ(workers.began(), 20U);
}

// The entries know nothing of the second run.
TEST_F(leased_fleet, a_second_run_of_a_task_is_found)
{
    const task_run run{submission_id("other"), task_index(0),
                       attempt_number(1)};
    const task_run next{run.submission, run.index, attempt_number(2)};
    const auto begin = [&](std::size_t agent, const task_run& it)
    {
        auto& at = workers.worker(agent);
        at.start({it, {}, at.clock() + milliseconds(300), at.fence()},
                 milliseconds(100));
    };
    begin(0, run);
    fleet.run_for(milliseconds(60));
    begin(1, next);
    fleet.run_for(seconds(1));
    ASSERT_EQ(workers.overlaps().size(), 1U);
    EXPECT_EQ(fleet.record().violations.size(), 2U); // and a second start
}

TEST_F(leased_fleet, a_crash_ends_the_runs_of_a_worker)
{
    workers.work_time = [](const task_run&)
    {
        return milliseconds(400);
    };
    fleet.submit(0, make_job(4));
    fleet.run_for(milliseconds(100));
    workers.crash(0, milliseconds(200), false);
    workers.crash(1, milliseconds(200), true);
    fleet.run_for(seconds(6));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
    EXPECT_EQ(workers.began(), 8U);
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
}

} // namespace

} // namespace lagoonquay
