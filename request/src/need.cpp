#include "lagoonquay/request/need.hpp"

#include <limits>

namespace lagoonquay
{

namespace
{

std::uint32_t minus(std::uint32_t left, std::uint32_t right) noexcept
{
    return left > right ? left - right : 0;
}

std::uint32_t plus(std::uint32_t left, std::uint32_t right) noexcept
{
    const auto most = std::numeric_limits<std::uint32_t>::max();
    return left > most - right ? most : left + right;
}

} // namespace

bool fits(const resources& need, const resources& capacity) noexcept
{
    return need.processors_milli <= capacity.processors_milli &&
           need.memory_mb <= capacity.memory_mb &&
           need.accelerators <= capacity.accelerators;
}

std::optional<std::string> first_misfit(const resources& need,
                                        const resources& capacity)
{
    if (need.processors_milli > capacity.processors_milli)
        return "processors";
    if (need.memory_mb > capacity.memory_mb)
        return "memory";
    if (need.accelerators > capacity.accelerators)
        return "accelerators";
    return std::nullopt;
}

resources subtract(const resources& capacity, const resources& used) noexcept
{
    return {minus(capacity.processors_milli, used.processors_milli),
            minus(capacity.memory_mb, used.memory_mb),
            minus(capacity.accelerators, used.accelerators)};
}

resources add(const resources& left, const resources& right) noexcept
{
    return {plus(left.processors_milli, right.processors_milli),
            plus(left.memory_mb, right.memory_mb),
            plus(left.accelerators, right.accelerators)};
}

} // namespace lagoonquay
