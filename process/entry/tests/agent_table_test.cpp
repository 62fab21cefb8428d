// Tests of stray runs and free capacity in the agent table. A stray run is a
// run at an agent whose entry is gone.
#include "lagoonquay/process/agent_table.hpp"

#include "fake_link.hpp"

#include <gtest/gtest.h>
#include <memory>

namespace lagoonquay
{

namespace
{

const agent_id agent("a");
const instant now{std::chrono::seconds(100)};
//! After the slow start of an agent that was new at `now`.
const instant later = now + std::chrono::seconds(10);

class stray_runs : public testing::Test
{
protected:
    stray_runs()
    {
        table.learn({member({.id = agent.text()})}, now);
    }

    void link()
    {
        table.open(agent, std::make_shared<fake_link>());
    }

    void tell(std::uint32_t stray)
    {
        grant_message it;
        it.agent = agent;
        it.stray_runs = stray;
        table.update(agent, it, now);
    }

    agent_table table;
};

TEST(stray_runs_of_nobody, are_not_known_before_any_agent_is)
{
    agent_table table;
    EXPECT_FALSE(table.none_stray());
}

TEST_F(stray_runs, are_possible_until_the_agent_says_that_it_has_none)
{
    EXPECT_FALSE(table.none_stray());
    link();
    EXPECT_FALSE(table.none_stray());
    tell(1);
    EXPECT_FALSE(table.none_stray());
    tell(0);
    EXPECT_TRUE(table.none_stray());
}

TEST_F(stray_runs, stay_ruled_out_once_the_agent_is_lost)
{
    link();
    tell(0);
    table.close(agent);
    EXPECT_TRUE(table.none_stray());
}

TEST_F(stray_runs, must_be_ruled_out_by_each_agent)
{
    link();
    tell(0);
    table.learn({member({.id = "b"})}, now);
    EXPECT_FALSE(table.none_stray());
}

class free_capacity : public testing::Test
{
protected:
    free_capacity()
    {
        table.learn({member({.id = agent.text()})}, now);
        table.open(agent, std::make_shared<fake_link>());
        say({}, 0);
    }

    //! Applies a grant with the use of the agent's tasks and the number of
    //! dispatches that it has received.
    void say(const resources& used, std::uint64_t dispatches)
    {
        grant_message it;
        it.agent = agent;
        it.credits_total = 8;
        it.slots = 8;
        it.capacity = capacity;
        it.accepting = true;
        it.used = used;
        it.dispatches_total = dispatches;
        table.update(agent, it, now);
    }

    void dispatch(const resources& need)
    {
        const auto credit = table.take(agent, later);
        ASSERT_TRUE(credit);
        dispatch_message message;
        message.submission = submission_id("s");
        message.key = {task_index(next_++), attempt_number(1), agent,
                       incarnation(1)};
        table.begin(*credit, message, {customer_id("c"), "kind", need});
        last_ = message;
    }

    //! Ends the newest dispatch; its result reports the use and the number of
    //! dispatches that the agent has received.
    void end(const resources& used, std::uint64_t dispatches)
    {
        result_message it{last_.submission, last_.key, {}, 0, 0, {}};
        it.used = used;
        it.dispatches_total = dispatches;
        table.release(agent, it);
    }

    std::uint32_t free_processors()
    {
        const auto found = table.candidates(later);
        return found.empty() ? 0 : found[0].free.processors_milli;
    }

    const resources capacity{4000, 4096, 0};
    agent_table table;

private:
    std::uint64_t next_ = 0;
    dispatch_message last_;
};

// Guards against a grant that the agent sent before it received a dispatch: it
// made the resources of that dispatch appear free.
TEST_F(free_capacity, is_not_given_twice_by_news_from_before_a_dispatch)
{
    dispatch({1000, 0, 0});
    say({2000, 0, 0}, 0);
    EXPECT_EQ(free_processors(), 1000U);
    say({3000, 0, 0}, 1);
    EXPECT_EQ(free_processors(), 1000U);
}

TEST_F(free_capacity, is_not_given_twice_by_a_result_from_before_a_dispatch)
{
    dispatch({500, 0, 0});
    dispatch({500, 0, 0});
    say({2000, 0, 0}, 1);
    EXPECT_EQ(free_processors(), 1500U);
    end({2500, 0, 0}, 2);
    EXPECT_EQ(free_processors(), 1500U);
}

TEST_F(free_capacity, knows_other_entries_tasks_from_its_own)
{
    dispatch({1000, 0, 0});
    say({1000, 0, 0}, 1);
    EXPECT_EQ(free_processors(), 3000U);
    say({2500, 0, 0}, 1);
    EXPECT_EQ(free_processors(), 1500U);
}

} // namespace

} // namespace lagoonquay
