//! Time as the decisions see it: monotonic instants and wall-clock stamps.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace lagoonquay
{

//! Resolution of every duration in the decisions.
using duration = std::chrono::microseconds;

//! Tag of the monotonic clock of one process incarnation.
struct monotonic_tag
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_tag>;
    static constexpr bool is_steady = true;
};

//! A point on one process's monotonic clock. Not comparable across processes.
using instant = monotonic_tag::time_point;

//! Milliseconds since the Unix epoch; used for submission creation times only.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

//! @return a multiple of a span.
inline duration scale(duration span, double factor) noexcept
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

//! Reads the monotonic clock. May be called from any thread.
using clock_hook = std::function<instant()>;

//! Reads the wall clock. May be called from any thread.
using wall_clock_hook = std::function<wall_time()>;

//! Runs work once after a delay, on any thread. Thread-safe.
using delay_hook = std::function<void(duration, std::function<void()>)>;

//! @return the monotonic clock of this machine, which counts also the time
//! that the machine is suspended.
instant steady_now() noexcept;

//! @return the wall clock of this machine.
wall_time wall_now() noexcept;

} // namespace lagoonquay
