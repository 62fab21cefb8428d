// Cancels by callers: what is answered, and that it comes true.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const submission_id id("s");

//! A job of long tasks that runs through the first entry.
class cancels : public testing::Test
{
protected:
    cancels()
    {
        fleet.run_time = [](const upstream_call&)
        {
            return seconds(5);
        };
        fleet.submit(0, work);
        fleet.run_for(milliseconds(50));
        EXPECT_EQ(running(), 4U);
    }

    std::uint32_t running()
    {
        return fleet.agent(0).running() + fleet.agent(1).running();
    }

    fake_fleet fleet{{.agents = 2, .upstreams_can_stop = true}};
    const job work{{.submission = id,
                    .customer = customer_id("c"),
                    .created = fleet.wall(),
                    .time_limit = seconds(20),
                    .idempotent = true,
                    .tasks = std::vector<task>(12)}};
};

} // namespace

TEST_F(cancels, at_the_holder_end_the_job)
{
    fleet.cancel(0, id);
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::cancelled});
    EXPECT_EQ(running(), 0U);
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_EQ(fleet.record().answers[0]->reason, failure_reason::cancelled);
}

// Guards against a cancel that was acknowledged and stopped nothing: the entry
// that was asked had forwarded the job, and its holder was not told.
TEST_F(cancels, of_a_forwarded_job_reach_its_holder)
{
    fleet.submit(1, work);
    fleet.run_for(milliseconds(100));
    fleet.cancel(1, id);
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::cancelled});
    EXPECT_EQ(running(), 0U);
}

// Guards against a job that went on after its caller, whose channel had broken,
// was told by another entry that there is no such job.
TEST_F(cancels, at_an_entry_without_the_job_reach_its_holder)
{
    fleet.cancel(1, id);
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::cancelled});
    EXPECT_EQ(running(), 0U);
}

// Guards against a cancel that was acknowledged by an entry that had given the
// job up, while another entry ran it.
TEST_F(cancels, at_an_entry_that_gave_the_job_up_reach_its_holder)
{
    const auto limited = [](seconds limit)
    {
        return [limit](job_options& it)
        {
            it.submission = submission_id("t");
            it.time_limit = limit;
            it.dated = false;
            it.tasks.resize(1);
        };
    };
    fleet.cancel(0, id);
    fleet.submit(0, work.with(limited(seconds(1))));
    fleet.run_for(seconds(5));
    fleet.submit(1, work.with(limited(seconds(20))));
    fleet.run_for(seconds(3));
    ASSERT_EQ(running(), 1U);
    fleet.cancel(0, submission_id("t"));
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(running(), 0U);
}

TEST_F(cancels, of_a_job_that_nobody_has_find_none)
{
    fleet.cancel(1, submission_id("other"));
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::unknown});
}

TEST_F(cancels, are_not_confirmed_while_the_holder_is_out_of_reach)
{
    fleet.kill_entry(0);
    fleet.cancel(1, id);
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::unconfirmed});
}

// Guards against a cancel that was acknowledged and lost: the links of the
// entry had died while it was frozen, and it took its runs back on the next
// ones.
TEST_F(cancels, that_are_lost_with_their_links_are_repeated)
{
    fleet.freeze_entry(0, true);
    fleet.run_for(milliseconds(650));
    fleet.cancel(0, id);
    fleet.run_for(milliseconds(250));
    fleet.freeze_entry(0, false);
    fleet.run_for(milliseconds(800));
    EXPECT_EQ(fleet.record().cancels, std::vector{cancel_outcome::cancelled});
    EXPECT_EQ(running(), 0U);
    ASSERT_EQ(fleet.record().answers.size(), 1U);
    EXPECT_EQ(fleet.record().answers[0]->reason, failure_reason::cancelled);
}

} // namespace lagoonquay
