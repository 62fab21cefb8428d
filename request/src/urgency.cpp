#include "lagoonquay/request/urgency.hpp"

#include <algorithm>
#include <tuple>

namespace lagoonquay
{

namespace
{

instant last_if_none(instant start_by) noexcept
{
    return start_by == instant() ? instant::max() : start_by;
}

} // namespace

std::uint32_t aged_priority(std::uint32_t priority, duration waited) noexcept
{
    const auto periods = std::max(waited, duration::zero()) / ageing_period;
    if (periods >= priority)
        return 0;
    return priority - static_cast<std::uint32_t>(periods);
}

std::optional<std::size_t>
next_level(const std::vector<waiting_level>& levels) noexcept
{
    if (levels.empty())
        return std::nullopt;
    const auto most_urgent = levels.front().priority;
    std::size_t best = 0;
    for (std::size_t n = 1; n < levels.size(); ++n)
    {
        const auto& it = levels[n];
        if (aged_priority(it.priority, it.waited) <= most_urgent &&
            it.served < levels[best].served)
            best = n;
    }
    return best;
}

bool goes_before(const start_urgency& left, const start_urgency& right) noexcept
{
    const auto rank = [](const start_urgency& it)
    {
        return std::tuple(aged_priority(it.priority, it.waited),
                          last_if_none(it.start_by));
    };
    return rank(left) < rank(right);
}

} // namespace lagoonquay
