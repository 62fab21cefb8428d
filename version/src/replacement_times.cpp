#include "lagoonquay/version/replacement_times.hpp"

namespace lagoonquay
{

// The other half is for an election and for the new replica to get the log.
replacement_times replacement_times_for(duration catch_up) noexcept
{
    const auto replace_after = catch_up / 2;
    return {replace_after, replace_after * 3 / 4};
}

} // namespace lagoonquay
