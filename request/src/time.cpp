#include "lagoonquay/request/time.hpp"

#include <ctime>

namespace lagoonquay
{

// A lease must run out while the machine is suspended, which CLOCK_MONOTONIC
// does not count.
instant steady_now() noexcept
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto whole = std::chrono::seconds(now.tv_sec);
    const auto rest = std::chrono::nanoseconds(now.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(whole + rest));
}

wall_time wall_now() noexcept
{
    const auto now = std::chrono::system_clock::now();
    return std::chrono::time_point_cast<std::chrono::milliseconds>(now);
}

} // namespace lagoonquay
