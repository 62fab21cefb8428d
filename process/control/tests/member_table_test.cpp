// What a control replica tells of the members of a large fleet.
#include "lagoonquay/process/heard_members.hpp"
#include "lagoonquay/process/member_table.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const instant start(std::chrono::seconds(100));
const duration silence = std::chrono::seconds(3);
constexpr std::size_t agents = 65;
constexpr std::size_t entries = 12;
// Control may take 6 kB a second of a node: five replicas, twice a second.
constexpr std::size_t most_bytes = 6'000 / 10;

member member_of(member_role role, std::size_t number, std::uint64_t run = 7)
{
    const auto id = (role == member_role::agent ? "side-" : "frontend-") +
                    std::to_string(number);
    return member({.role = role,
                   .id = id,
                   .run = incarnation(run),
                   .domain = domain_id("d"),
                   .address = "10.0.0.1:7720",
                   .serving = true});
}

//! A replica's table and an entry that asks it.
class member_table_test : public testing::Test
{
protected:
    member_table_test()
    {
        for (std::size_t n = 0; n < agents; ++n)
            table_.note({member_of(member_role::agent, n), {}}, start);
        for (std::size_t n = 0; n < entries; ++n)
            table_.note({member_of(member_role::entry, n), {}}, start);
    }

    //! @return the size of the answer to a heartbeat of the entry.
    std::size_t ask()
    {
        permit_reply reply;
        reply.members = table_.since(heard_.mark());
        heard_.apply(reply.members);
        return encode_permit_reply(reply).size();
    }

    member_table table_{incarnation(1)};
    heard_members heard_;
};

} // namespace

TEST_F(member_table_test, tells_the_list_once_and_then_little_in_a_large_fleet)
{
    EXPECT_GT(ask(), most_bytes);
    EXPECT_EQ(heard_.agents().size(), agents);
    EXPECT_EQ(heard_.entries().size(), entries);
    EXPECT_LE(ask(), most_bytes);
}

TEST_F(member_table_test, tells_a_change_and_no_more)
{
    ask();
    table_.note({member_of(member_role::agent, 3, 8), {}}, start);
    EXPECT_LE(ask(), most_bytes);
    std::size_t changed = 0;
    for (const auto& it : heard_.agents())
        changed += it->run == incarnation(8) ? 1 : 0;
    EXPECT_EQ(changed, 1U);
    EXPECT_EQ(heard_.agents().size(), agents);
}

TEST_F(member_table_test, tells_who_is_silent_and_who_came_back)
{
    ask();
    const auto now = start + silence + std::chrono::seconds(1);
    for (std::size_t n = 1; n < agents; ++n)
        table_.note({member_of(member_role::agent, n), {}}, now);
    const auto lost = table_.forget_silent(silence, now);
    EXPECT_EQ(lost.size(), 1 + entries);
    ask();
    EXPECT_EQ(heard_.agents().size(), agents - 1);
    EXPECT_TRUE(heard_.entries().empty());
    table_.note({member_of(member_role::agent, 0), {}}, now);
    ask();
    EXPECT_EQ(heard_.agents().size(), agents);
}

TEST_F(member_table_test, of_a_new_life_tells_its_whole_list)
{
    ask();
    member_table young(incarnation(2));
    young.note({member_of(member_role::agent, 1), {}}, start);
    heard_.apply(young.since(heard_.mark()));
    EXPECT_EQ(heard_.agents().size(), 1U);
    EXPECT_TRUE(heard_.entries().empty());
}

TEST_F(member_table_test, tells_the_whole_list_to_who_missed_too_many_losses)
{
    ask();
    for (std::size_t n = 0; n < 1001; ++n)
    {
        table_.note({member_of(member_role::agent, agents + n), {}}, start);
        table_.forget_silent(duration(), start + duration(1));
    }
    EXPECT_TRUE(table_.since(heard_.mark()).whole);
    ask();
    EXPECT_TRUE(heard_.agents().empty());
}

TEST_F(member_table_test, ignores_an_answer_that_came_late)
{
    ask();
    const auto late = table_.since({});
    table_.note({member_of(member_role::agent, 3, 8), {}}, start);
    ask();
    const auto mark = heard_.mark();
    heard_.apply(late);
    EXPECT_EQ(heard_.mark(), mark);
}

} // namespace lagoonquay
