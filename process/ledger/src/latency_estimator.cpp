#include "lagoonquay/process/latency_estimator.hpp"

#include <algorithm>

namespace lagoonquay
{

latency_estimator::latency_estimator(latency_estimator_options options) noexcept
    : options_(options)
{
}

// Smooths the mean and the deviation with the gains of TCP's retransmission
// timeout (RFC 6298): 1/8 and 1/4.
void latency_estimator::add_sample(duration took)
{
    const std::lock_guard lock(mutex_);
    const auto difference = took - mean_;
    mean_ += difference / 8;
    deviation_ += (std::chrono::abs(difference) - deviation_) / 4;
}

duration latency_estimator::patience() const
{
    const std::lock_guard lock(mutex_);
    return std::clamp(mean_ + 4 * deviation_, options_.min_delay,
                      options_.max_delay);
}

} // namespace lagoonquay
