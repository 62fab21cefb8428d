//! Time that moves only when a test says so.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace lagoonquay
{

//! Runs work in order of time, then of scheduling. Not thread-safe.
class virtual_time
{
public:
    instant now() const noexcept;
    wall_time wall() const noexcept;

    void after(duration delay, std::function<void()> work);

    //! Moves time on and runs all that falls due.
    void advance(duration span);

private:
    struct key
    {
        instant when;
        std::uint64_t order = 0;

        friend auto operator<=>(const key&, const key&) = default;
    };

    instant now_{std::chrono::hours(1)};
    std::uint64_t scheduled_ = 0;
    std::map<key, std::function<void()>> pending_;
};

} // namespace lagoonquay
