//! Decides when a process asks control for its permit. Pure.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <optional>

namespace lagoonquay
{

struct heartbeat_pacing_options
{
    duration period = std::chrono::milliseconds(500);
    //! Until the first permit: the process can do nothing before it.
    duration first_period = std::chrono::milliseconds(100);

    friend bool operator==(const heartbeat_pacing_options&,
                           const heartbeat_pacing_options&) = default;
};

//! Remembers the last round of heartbeats. Not thread-safe.
class heartbeat_pacing
{
public:
    explicit heartbeat_pacing(heartbeat_pacing_options options = {}) noexcept;

    //! @return whether a round is due; it then counts as sent at `now`.
    bool take(instant now) noexcept;

    //! A majority has given a permit.
    void granted() noexcept;

private:
    heartbeat_pacing_options options_;
    std::optional<instant> sent_;
    bool granted_ = false;
};

} // namespace lagoonquay
