#include "lagoonquay/process/agent_health.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! Doublings after which the length of a quarantine no longer grows.
constexpr std::uint32_t most_doublings = 16;

//! Weight of the newest run in the average ratio.
constexpr double newest_weight = 0.15;

} // namespace

void agent_health::set_accepting(bool accepting, instant now) noexcept
{
    if (accepting && !accepting_)
        accepting_since_ = now;
    accepting_ = accepting;
}

void agent_health::succeeded() noexcept
{
    failures_ = 0;
    pauses_ = 0;
    probation_ = false;
}

void agent_health::ran(double ratio) noexcept
{
    ratio_ += newest_weight * (ratio - ratio_);
}

// On probation a single failure puts the worker in quarantine again, for
// longer. Failures of tasks that were in flight when the quarantine began don't
// lengthen it.
void agent_health::failed(const agent_health_options& options,
                          instant now) noexcept
{
    ++failures_;
    if (now < paused_until_)
        return;
    if (!probation_ && failures_ < options.failures)
        return;
    const auto doublings = std::min(pauses_, most_doublings);
    const auto pause = options.first_pause * (std::int64_t{1} << doublings);
    paused_until_ = now + std::min(pause, options.longest_pause);
    ++pauses_;
    probation_ = true;
}

// Allows one task at a time on probation and while the worker is slow.
// Otherwise the limit grows to all slots over the ramp after the worker began
// to accept tasks. Each consecutive failure halves the slots, so that a worker
// that fails every task at once harms few tasks before its quarantine.
std::uint32_t agent_health::allowed(const agent_health_options& options,
                                    std::uint32_t slots,
                                    instant now) const noexcept
{
    if (!accepting_ || now < paused_until_)
        return 0;
    if (probation_ || ratio_ > options.slow_ratio)
        return 1;
    const auto trusted =
        std::max(slots >> std::min(failures_, most_doublings), 1U);
    const auto age = now - accepting_since_;
    if (age >= options.ramp)
        return trusted;
    const auto part = slots * age.count() / options.ramp.count();
    return std::min(trusted, 1 + static_cast<std::uint32_t>(part));
}

bool agent_health::suspect() const noexcept
{
    return probation_;
}

} // namespace lagoonquay
