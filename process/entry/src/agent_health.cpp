#include "lagoonquay/process/agent_health.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! Doublings after which the length of a quarantine no longer grows.
constexpr std::uint32_t max_doublings = 16;

//! Weight of the newest run in the average ratio.
constexpr double newest_run_weight = 0.15;

} // namespace

void agent_health::set_accepting(bool accepting, instant now) noexcept
{
    if (accepting && !accepting_)
        accepting_since_ = now;
    accepting_ = accepting;
}

void agent_health::record_success() noexcept
{
    consecutive_failures_ = 0;
    consecutive_quarantines_ = 0;
    on_probation_ = false;
}

void agent_health::record_run_ratio(double ratio) noexcept
{
    mean_run_ratio_ += newest_run_weight * (ratio - mean_run_ratio_);
}

// On probation a single failure puts the worker in quarantine again, for
// longer. Failures of tasks that were in flight when the quarantine began don't
// lengthen it.
void agent_health::record_failure(const agent_health_options& options,
                                  instant now) noexcept
{
    ++consecutive_failures_;
    if (now < quarantined_until_)
        return;
    if (!on_probation_ && consecutive_failures_ < options.failures)
        return;
    const auto doublings = std::min(consecutive_quarantines_, max_doublings);
    const auto length = options.first_pause * (std::int64_t{1} << doublings);
    quarantined_until_ = now + std::min(length, options.longest_pause);
    ++consecutive_quarantines_;
    on_probation_ = true;
}

// Allows one task at a time on probation and while the worker is slow.
// Otherwise the limit grows to all slots over the ramp after the worker began
// to accept tasks. Each consecutive failure halves the slots, so that a worker
// that fails every task at once harms few tasks before its quarantine.
std::uint32_t agent_health::max_in_flight(const agent_health_options& options,
                                          std::uint32_t slots,
                                          instant now) const noexcept
{
    if (!accepting_ || now < quarantined_until_)
        return 0;
    if (on_probation_ || mean_run_ratio_ > options.slow_ratio)
        return 1;
    const auto limit =
        std::max(slots >> std::min(consecutive_failures_, max_doublings), 1U);
    const auto age = now - accepting_since_;
    if (age >= options.ramp)
        return limit;
    const auto ramped = slots * age.count() / options.ramp.count();
    return std::min(limit, 1 + static_cast<std::uint32_t>(ramped));
}

bool agent_health::is_suspect() const noexcept
{
    return on_probation_;
}

} // namespace lagoonquay
