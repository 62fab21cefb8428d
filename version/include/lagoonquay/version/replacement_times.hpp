//! When a lost control replica gives its place to a new one.
#pragma once

#include "lagoonquay/request/time.hpp"

namespace lagoonquay
{

struct replacement_times
{
    //! Silence after which a replica of another name may take the place.
    duration replace_after{};
    //! How long a replica votes for permits after it last heard of a leader.
    //! Shorter, so that one that is replaced while it is cut off votes no more.
    duration leaderless_votes{};

    friend bool operator==(const replacement_times&,
                           const replacement_times&) = default;
};

//! @param catch_up  time after its start by which a new replica must stand in
//!                  for the one that was lost.
replacement_times replacement_times_for(duration catch_up) noexcept;

} // namespace lagoonquay
