#include "lagoonquay/request/time.hpp"

namespace lagoonquay
{

instant steady_now() noexcept
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(now));
}

wall_time wall_now() noexcept
{
    const auto now = std::chrono::system_clock::now();
    return std::chrono::time_point_cast<std::chrono::milliseconds>(now);
}

} // namespace lagoonquay
