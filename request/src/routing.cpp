#include "lagoonquay/request/routing.hpp"

#include <algorithm>
#include <array>
#include <atomic>
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

//! Tasks and slots of a worker or of a failure domain.
struct known_load
{
    std::uint64_t tasks = 0;
    std::uint64_t slots = 0;
};

bool less_loaded(const known_load& left, const known_load& right) noexcept
{
    return left.tasks * right.slots < right.tasks * left.slots;
}

// Tasks fill a worker's slots and its processors: the fuller of both counts.
known_load load_of(const route_candidate& it) noexcept
{
    const known_load slots{std::uint64_t{it.outstanding} + it.others, it.slots};
    const known_load processors{
        std::uint64_t{it.capacity.processors_milli} -
            std::min(it.capacity.processors_milli, it.free.processors_milli),
        it.capacity.processors_milli};
    const bool known = it.capacity.processors_milli > 0;
    return known && less_loaded(slots, processors) ? processors : slots;
}

// A task that would wait at the agent waits better in the entry's own order.
// An agent that has none of this entry's tasks sends no news, so it is tried.
bool is_full(const route_candidate& it) noexcept
{
    const auto tasks = std::uint64_t{it.outstanding} + it.others;
    return it.outstanding > 0 && tasks >= it.slots;
}

known_load domain_load_of(const domain_id& domain,
                          const candidate_list& candidates) noexcept
{
    known_load sum;
    for (const auto& it : candidates)
    {
        if (it.domain != domain)
            continue;
        const auto load = load_of(it);
        sum.tasks += load.tasks;
        sum.slots += load.slots;
    }
    return sum;
}

// Takes the least loaded worker, other entries' tasks included. Of the first
// equals it takes the one whose failure domain has less to do, so that a wide
// job spreads evenly. The search starts at a new place each time: entries that
// know the same workers then don't all begin with the same one.
position spread_least_loaded(const route_request& asked,
                             const candidate_list& candidates,
                             std::size_t first)
{
    position best;
    position equal;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const auto at = (first + n) % candidates.size();
        const auto& it = candidates[at];
        if (!can_take(it, asked) || is_full(it))
            continue;
        if (best && less_loaded(load_of(candidates[*best]), load_of(it)))
            continue;
        if (!best || less_loaded(load_of(it), load_of(candidates[*best])))
        {
            best = at;
            equal.reset();
        }
        else if (!equal && it.domain != candidates[*best].domain)
        {
            equal = at;
        }
    }
    if (!equal)
        return best;
    const bool swap =
        less_loaded(domain_load_of(candidates[*equal].domain, candidates),
                    domain_load_of(candidates[*best].domain, candidates));
    return swap ? equal : best;
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

bool serves(const service_id& offered, const service_id& asked) noexcept
{
    return asked.empty() || offered == asked;
}

bool can_take(const route_candidate& candidate,
              const route_request& asked) noexcept
{
    return candidate.credits > 0 && fits(asked.need, candidate.free) &&
           asked.avoid != candidate.agent &&
           serves(candidate.service, asked.service);
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
