#include "lagoonquay/process/heartbeat_pacing.hpp"

namespace lagoonquay
{

heartbeat_pacing::heartbeat_pacing(heartbeat_pacing_options options) noexcept
    : options_(options)
{
}

bool heartbeat_pacing::take(instant now) noexcept
{
    const auto period = granted_ ? options_.period : options_.first_period;
    if (sent_ && now - *sent_ < period)
        return false;
    sent_ = now;
    return true;
}

void heartbeat_pacing::granted() noexcept
{
    granted_ = true;
}

} // namespace lagoonquay
