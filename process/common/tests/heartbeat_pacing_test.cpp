#include "lagoonquay/process/heartbeat_pacing.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

//! Looks every 50 ms for a second. @return rounds that were due.
int rounds_in_a_second(heartbeat_pacing& pacing, instant& now)
{
    constexpr int looks = 20;
    int rounds = 0;
    for (int n = 0; n < looks; ++n)
    {
        rounds += pacing.take(now) ? 1 : 0;
        now += milliseconds(50);
    }
    return rounds;
}

TEST(heartbeat_pacing, hurries_until_the_first_permit)
{
    heartbeat_pacing pacing;
    instant now{};
    EXPECT_EQ(rounds_in_a_second(pacing, now), 10);
    pacing.granted();
    EXPECT_EQ(rounds_in_a_second(pacing, now), 2);
}

} // namespace

} // namespace lagoonquay
