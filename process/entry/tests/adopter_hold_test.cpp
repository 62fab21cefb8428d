// What an adopter holds for agents of the earlier claim that don't answer, and
// that it holds nothing where they do.
#include "lagoonquay/connection/message_link.hpp"
#include "late_start_fleet.hpp"
#include "linked_entry.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against an adopter that waits 3 s for agents beyond its subset, and
// takes them for lost then.
TEST(adopter_subset, links_to_agents_of_the_earlier_claim_beyond_it)
{
    constexpr std::size_t agents = 60;
    constexpr std::size_t entries = 40;
    std::vector<member> listed;
    agent_reach::list reach;
    for (std::size_t n = 0; n < agents; ++n)
    {
        const auto id = linked_entry::name(n);
        listed.push_back(
            member({.id = id.text(), .run = linked_entry::run_of(n)}));
        reach.push_back({id, linked_entry::run_of(n)});
    }
    linked_entry entry(0);
    entry.adjust_claim = [&reach](claim_outcome_options& it)
    {
        it.first_claim_age = milliseconds(1);
        it.reach = agent_reach(reach);
    };
    entry.service().learn(listed, entries);
    EXPECT_LT(entry.service().agents().unlinked().size(), agents);
    entry.submit(1, 1);
    entry.run_for(milliseconds(10));
    EXPECT_EQ(entry.service().agents().unlinked().size(), agents);
}

class adopter_hold : public late_start_fleet
{
protected:
    adopter_hold() : late_start_fleet(3)
    {
    }

    //! The same job each time.
    void submit(std::size_t entry, duration time_limit)
    {
        if (!work)
            work = job({.submission = submission_id("job"),
                        .customer = customer_id("c"),
                        .created = fleet.wall(),
                        .time_limit = time_limit,
                        .idempotent = true,
                        .tasks = std::vector<task>(1)});
        fleet.submit(entry, *work);
    }

    //! The entry that has the job dies, and the second one gets it.
    void adopt()
    {
        fleet.kill_entry(0);
        fleet.run_for(milliseconds(200));
        submit(1, seconds(30));
    }

    //! It has a start without an answer, and no entry reaches it.
    void adopt_beside_a_silent_agent()
    {
        hold_up_start(std::chrono::hours(1));
        fleet.run_for(seconds(2));
        submit(0, seconds(60));
        fleet.run_for(milliseconds(100));
        if (!first_agent)
            return;
        for (std::size_t n = 0; n < 3; ++n)
            fleet.separate(n, *first_agent, true);
        adopt();
    }

    std::optional<job> work; //!< that was submitted
};

TEST_F(adopter_hold, holds_nothing_if_all_agents_answer)
{
    fleet.run_for(seconds(2));
    submit(0, seconds(30));
    fleet.run_for(milliseconds(100));
    adopt();
    fleet.run_for(seconds(12));
    EXPECT_EQ(fleet.entry(1).counts().adopted, 1U);
    EXPECT_EQ(fleet.entry(1).counts().held_moves, 0U);
    EXPECT_EQ(fleet.entry(1).counts().completed, 1U);
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
}

// Where agents stop in turn beside an entry that ends.
TEST_F(adopter_hold, holds_nothing_for_an_agent_that_was_drained)
{
    fleet.run_for(seconds(2));
    workers.work_time = [](const task_run&)
    {
        return milliseconds(1500);
    };
    submit(0, seconds(30));
    fleet.run_for(milliseconds(100));
    const std::size_t busy = fleet.agent(0).running() > 0 ? 0 : 1;
    const std::size_t idle = 1 - busy;
    fleet.agent(idle).drain();
    for (int n = 0; n < 100 && !fleet.agent(idle).drained(); ++n)
        fleet.run_for(milliseconds(10));
    ASSERT_TRUE(fleet.agent(idle).drained());
    fleet.kill_agent(idle);
    adopt();
    fleet.run_for(seconds(12));
    EXPECT_EQ(fleet.entry(1).counts().adopted, 1U);
    EXPECT_EQ(fleet.entry(1).counts().held_moves, 0U);
    EXPECT_EQ(fleet.entry(1).counts().completed, 1U);
}

// Also that the task is not started before.
TEST_F(adopter_hold, ends_with_the_word_of_an_agent_that_is_in_reach_again)
{
    adopt_beside_a_silent_agent();
    ASSERT_TRUE(first_agent);
    fleet.run_for(seconds(10));
    EXPECT_EQ(fleet.entry(1).counts().held_moves, 1U);
    EXPECT_EQ(workers.began(), 0U);
    for (std::size_t n = 0; n < 3; ++n)
        fleet.separate(n, *first_agent, false);
    fleet.run_for(seconds(12));
    EXPECT_EQ(fleet.entry(1).counts().completed, 1U);
    EXPECT_EQ(workers.began(), 1U);
    EXPECT_EQ(workers.overlaps(), std::vector<std::string>());
}

// No longer than a late run may go on.
TEST_F(adopter_hold, ends_when_no_late_run_can_go_on)
{
    adopt_beside_a_silent_agent();
    ASSERT_TRUE(first_agent);
    fleet.run_for(max_late_run_time({}));
    EXPECT_EQ(workers.began(), 0U);
    fleet.run_for(seconds(12));
    EXPECT_EQ(fleet.entry(1).counts().completed, 1U);
}

TEST_F(adopter_hold, ends_with_its_job_if_that_is_cancelled)
{
    adopt_beside_a_silent_agent();
    ASSERT_TRUE(first_agent);
    fleet.run_for(seconds(11));
    EXPECT_EQ(fleet.entry(1).counts().held_moves, 1U);
    fleet.cancel(1, submission_id("job"));
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.entry(1).unanswered(), 0U);
    EXPECT_EQ(workers.began(), 0U);
}

} // namespace lagoonquay
