#include "lagoonquay/request/time.hpp"

#include <ctime>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

instant boot_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::microseconds(now.tv_nsec / 1000));
}

// The clock that stands still in a suspended machine would let leases live on.
TEST(steady_now, is_the_clock_that_counts_suspended_time)
{
    const auto before = boot_now();
    const auto now = steady_now();
    const auto after = boot_now();
    EXPECT_LE(before, now);
    EXPECT_LE(now, after);
}

} // namespace

} // namespace lagoonquay
