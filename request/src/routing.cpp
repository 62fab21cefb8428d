#include "lagoonquay/request/routing.hpp"

namespace lagoonquay
{

namespace
{

// Compares outstanding / slots without a division.
bool less_loaded(const route_candidate& left,
                 const route_candidate& right) noexcept
{
    return std::uint64_t{left.outstanding} * right.slots <
           std::uint64_t{right.outstanding} * left.slots;
}

std::optional<agent_id>
least_outstanding(const task& work,
                  const std::vector<route_candidate>& candidates)
{
    const route_candidate* best = nullptr;
    for (const auto& it : candidates)
    {
        if (it.credits == 0 || !fits(work->need, it.capacity))
            continue;
        if (best == nullptr || less_loaded(it, *best))
            best = &it;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->agent;
}

} // namespace

route_hook route_least_outstanding()
{
    return least_outstanding;
}

route_hook route_random(random_hook draw)
{
    return [draw = std::move(draw)](
               const task& work, const std::vector<route_candidate>& candidates)
               -> std::optional<agent_id>
    {
        std::vector<const route_candidate*> fitting;
        for (const auto& it : candidates)
        {
            if (it.credits == 0 || !fits(work->need, it.capacity))
                continue;
            fitting.push_back(&it);
        }
        if (fitting.empty())
            return std::nullopt;
        return fitting[draw(fitting.size())]->agent;
    };
}

} // namespace lagoonquay
