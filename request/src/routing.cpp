#include "lagoonquay/request/routing.hpp"

#include <array>
#include <atomic>
#include <map>
#include <memory>

namespace lagoonquay
{

namespace
{

using candidate_list = std::vector<route_candidate>;
using position = std::optional<std::size_t>;

struct policy_name
{
    route_policy policy;
    std::string_view name;
};

constexpr std::array<policy_name, 5> policy_names{{
    {route_policy::random, "random"},
    {route_policy::round_robin, "round_robin"},
    {route_policy::least_outstanding, "least_outstanding"},
    {route_policy::two_choices, "two_choices"},
    {route_policy::slot_credits, "slot_credits"},
}};

// Compares outstanding / slots without a division.
bool less_loaded(const route_candidate& left,
                 const route_candidate& right) noexcept
{
    return std::uint64_t{left.outstanding} * right.slots <
           std::uint64_t{right.outstanding} * left.slots;
}

// Takes the first that fits from a position on, around the end.
position next_from(const route_request& asked, const candidate_list& candidates,
                   std::size_t first)
{
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const auto at = (first + n) % candidates.size();
        if (can_take(candidates[at], asked))
            return at;
    }
    return std::nullopt;
}

position least_outstanding(const route_request& asked,
                           const candidate_list& candidates)
{
    position best;
    for (std::size_t at = 0; at < candidates.size(); ++at)
    {
        if (!can_take(candidates[at], asked))
            continue;
        if (!best || less_loaded(candidates[at], candidates[*best]))
            best = at;
    }
    return best;
}

route_hook route_random(random_hook draw)
{
    return [draw = std::move(draw)](const route_request& asked,
                                    const candidate_list& candidates)
    {
        const auto n = candidates.size();
        return next_from(asked, candidates, n == 0 ? 0 : draw(n));
    };
}

route_hook route_round_robin()
{
    const auto turn = std::make_shared<std::atomic<std::size_t>>(0);
    return [turn](const route_request& asked, const candidate_list& candidates)
    {
        return next_from(asked, candidates, turn->fetch_add(1));
    };
}

route_hook route_two_choices(random_hook draw)
{
    return
        [draw = std::move(draw)](const route_request& asked,
                                 const candidate_list& candidates) -> position
    {
        const auto n = candidates.size();
        if (n == 0)
            return std::nullopt;
        const auto first = next_from(asked, candidates, draw(n));
        const auto second = next_from(asked, candidates, draw(n));
        if (!first)
            return std::nullopt;
        const bool swap = less_loaded(candidates[*second], candidates[*first]);
        return swap ? second : first;
    };
}

//! Load of one failure domain as this entry causes it.
struct domain_load
{
    std::uint64_t outstanding = 0;
    std::uint64_t slots = 0;
};

using domain_loads = std::map<domain_id, domain_load>;

domain_loads sum_by_domain(const candidate_list& candidates)
{
    domain_loads loads;
    for (const auto& it : candidates)
    {
        auto& load = loads[it.domain];
        load.outstanding += it.outstanding;
        load.slots += it.slots;
    }
    return loads;
}

bool less_loaded(const domain_load& left, const domain_load& right) noexcept
{
    return left.outstanding * right.slots < right.outstanding * left.slots;
}

// Equal workers are told apart by the load of their failure domain, so that a
// wide job spreads evenly. The search starts at a new place each time: entries
// that know the same workers then don't all begin with the same one.
position spread_least_loaded(const route_request& asked,
                             const candidate_list& candidates,
                             std::size_t first)
{
    position best;
    std::vector<std::size_t> equals;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const auto at = (first + n) % candidates.size();
        const auto& it = candidates[at];
        if (!can_take(it, asked))
            continue;
        if (best && less_loaded(candidates[*best], it))
            continue;
        if (!best || less_loaded(it, candidates[*best]))
            equals.clear();
        if (equals.empty())
            best = at;
        equals.push_back(at);
    }
    if (equals.size() < 2)
        return best;
    const auto loads = sum_by_domain(candidates);
    for (const auto at : equals)
    {
        if (less_loaded(loads.at(candidates[at].domain),
                        loads.at(candidates[*best].domain)))
            best = at;
    }
    return best;
}

route_hook route_slot_credits()
{
    const auto turn = std::make_shared<std::atomic<std::size_t>>(0);
    return [turn](const route_request& asked, const candidate_list& candidates)
    {
        return spread_least_loaded(asked, candidates, turn->fetch_add(1));
    };
}

} // namespace

bool can_take(const route_candidate& candidate,
              const route_request& asked) noexcept
{
    return candidate.credits > 0 && fits(asked.need, candidate.free) &&
           asked.avoid != candidate.agent;
}

std::string_view to_text(route_policy policy) noexcept
{
    for (const auto& it : policy_names)
    {
        if (it.policy == policy)
            return it.name;
    }
    return "unknown";
}

std::optional<route_policy> route_policy_from(std::string_view name) noexcept
{
    for (const auto& it : policy_names)
    {
        if (it.name == name)
            return it.policy;
    }
    return std::nullopt;
}

route_hook make_route(route_policy policy, random_hook draw)
{
    switch (policy)
    {
    case route_policy::random:
        return route_random(std::move(draw));
    case route_policy::round_robin:
        return route_round_robin();
    case route_policy::least_outstanding:
        return least_outstanding;
    case route_policy::two_choices:
        return route_two_choices(std::move(draw));
    case route_policy::slot_credits:
        return route_slot_credits();
    }
    return least_outstanding;
}

} // namespace lagoonquay
