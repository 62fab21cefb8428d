// What an entry knows of stray runs at its agents.
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

} // namespace

} // namespace lagoonquay
