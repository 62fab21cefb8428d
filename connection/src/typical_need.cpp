#include "lagoonquay/connection/typical_need.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonquay
{

namespace
{

constexpr double weight_of_latest = 1.0 / 16;

//! Tasks at a time until the need of one is known.
constexpr std::uint32_t first_tasks = 8;

void move_towards(double& average, std::uint32_t latest, double weight) noexcept
{
    average += (latest - average) * weight;
}

double fitting_one(std::uint32_t capacity, double need, double most) noexcept
{
    return need > 0 && capacity > 0 ? std::min(capacity / need, most) : most;
}

} // namespace

void typical_need::note(const resources& need) noexcept
{
    const auto weight = known_ ? weight_of_latest : 1;
    known_ = true;
    move_towards(processors_milli_, need.processors_milli, weight);
    move_towards(memory_mb_, need.memory_mb, weight);
    move_towards(accelerators_, need.accelerators, weight);
}

std::uint32_t typical_need::fitting(const resources& capacity,
                                    std::uint32_t most) const noexcept
{
    if (!known_)
        return std::clamp(most, 1U, first_tasks);
    double fit = most;
    fit = fitting_one(capacity.processors_milli, processors_milli_, fit);
    fit = fitting_one(capacity.memory_mb, memory_mb_, fit);
    fit = fitting_one(capacity.accelerators, accelerators_, fit);
    return std::max(static_cast<std::uint32_t>(std::ceil(fit)), 1U);
}

} // namespace lagoonquay
