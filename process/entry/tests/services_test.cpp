// Jobs run only at workers of their service.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::seconds;

job job_for(const fake_fleet& fleet, const std::string& service)
{
    return job({.submission = submission_id("s"),
                .customer = customer_id("c"),
                .service = service_id(service),
                .created = fleet.wall(),
                .time_limit = seconds(2),
                .tasks = std::vector<task>(2)});
}

} // namespace

// Guards against tasks of a queue whose service has no workers yet: they ran on
// the workers of another service, and their caller was told that all was done.
TEST(services, a_job_of_a_service_without_workers_never_starts)
{
    fake_fleet fleet({.service = service_id("old")});
    fleet.submit(0, job_for(fleet, "new"));
    fleet.run_for(seconds(3));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_EQ(fleet.record().answers[0]->ran, effect::not_run);
    for (const auto& [key, starts] : fleet.record().starts)
        EXPECT_EQ(starts, 0U);
}

TEST(services, a_job_of_a_service_without_workers_is_refused_at_once)
{
    fake_fleet fleet({.service = service_id("old")});
    fleet.submit(0, job_for(fleet, "old"));
    fleet.run_for(seconds(7));
    fleet.submit(0, job_for(fleet, "new")
                        .with([](job_options& it)
                              { it.submission = submission_id("t"); }));
    fleet.run_for(std::chrono::milliseconds(100));
    ASSERT_EQ(fleet.record().answers.size(), 2U);
    EXPECT_EQ(fleet.record().answers[1]->reason,
              failure_reason::impossible_need);
    EXPECT_EQ(fleet.record().answers[1]->ran, effect::not_run);
}

TEST(services, a_job_runs_at_the_workers_of_its_service)
{
    fake_fleet fleet({.service = service_id("old")});
    fleet.submit(0, job_for(fleet, "old"));
    fleet.run_for(seconds(1));
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet.record().answers[0]));
}

} // namespace lagoonquay
