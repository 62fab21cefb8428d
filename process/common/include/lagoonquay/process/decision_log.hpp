//! Lines about what several programs decide or learn.
#pragma once

#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/permit.hpp"

namespace lagoonquay
{

//! @return whole milliseconds of a span, for a line of the log.
inline std::int64_t milliseconds_of(duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

//! Writes that a newer version of the fleet's state is applied.
void log_version(std::string_view part, const permit& granted);

} // namespace lagoonquay
