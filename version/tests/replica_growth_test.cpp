// How a log grows to its wanted voters and gives away the place of a silent
// one. The replicas stand by themselves; messages are handed over at once.
#include "growing_log.hpp"

namespace lagoonquay
{

namespace
{

TEST_F(growing_log, grows_one_voter_at_a_time_to_the_wanted_number)
{
    bootstrap({"a", "b", "c"});
    steps(60);
    ASSERT_NE(leader(), nullptr);
    for (const auto* name : {"d", "e", "f"})
        add(name);
    for (int n = 0; n < 20; ++n)
    {
        for (const auto* name : {"d", "e", "f"})
            ask_to_join(name);
        step();
    }
    EXPECT_EQ(voters(), wanted);
    EXPECT_TRUE(has("d"));
    EXPECT_TRUE(has("e"));
    EXPECT_FALSE(has("f"));
}

TEST_F(growing_log, a_silent_member_gives_its_place_to_a_new_address)
{
    bootstrap({"a", "b", "c", "d", "e"});
    steps(60);
    ASSERT_NE(leader(), nullptr);
    std::string lost = "a";
    if (&all.at(lost) == leader())
        lost = "b";
    all.erase(lost);
    add("f");
    ask_to_join("f");
    steps(5);
    EXPECT_FALSE(has("f"));
    steps(static_cast<int>(replace_ticks));
    ask_to_join("f");
    steps(10);
    EXPECT_TRUE(has("f"));
    EXPECT_FALSE(has(lost));
    EXPECT_EQ(voters(), wanted);
}

} // namespace

} // namespace lagoonquay
