//! Choice of the agent for a task. Pure; the policy is a hook.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! What the choice needs to know of a task.
struct route_request
{
    resources need;
    std::optional<agent_id> avoid; //!< declined the task before
    service_id service;            //!< whose workers may run it; empty for any

    friend bool operator==(const route_request&,
                           const route_request&) = default;
};

//! An agent that has room, as the entry knows it.
struct route_candidate
{
    agent_id agent;
    domain_id domain;
    std::uint32_t credits = 0;     //!< free credits at this entry
    std::uint32_t outstanding = 0; //!< this entry's tasks at the agent
    std::uint32_t others = 0; //!< tasks of other entries there, as last heard
    std::uint32_t slots = 0;
    resources capacity;
    //! Capacity less the needs of this entry's tasks there, and of the others'
    //! as last heard.
    resources free;
    service_id service; //!< of the worker

    friend bool operator==(const route_candidate&,
                           const route_candidate&) = default;
};

//! @return whether a worker of `offered` may run tasks for `asked`.
bool serves(const service_id& offered, const service_id& asked) noexcept;

//! @return whether the candidate can take the task now.
bool can_take(const route_candidate& candidate,
              const route_request& asked) noexcept;

//! Picks the position of a candidate, or none to let the task wait.
//! Thread-safe.
using route_hook = std::function<std::optional<std::size_t>(
    const route_request&, const std::vector<route_candidate>&)>;

//! Draws a number below `bound`. Thread-safe.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

//! The policies that settings can name.
enum class route_policy
{
    random,            //!< any candidate that fits
    round_robin,       //!< the next candidate that fits
    least_outstanding, //!< the fewest of this entry's tasks per slot
    two_choices,       //!< the less loaded of two drawn at random
    slot_credits,      //!< least loaded, spread over failure domains
};

//! @return the policy's name in settings.
std::string_view to_text(route_policy policy) noexcept;

//! @return the policy of that name, if there is one.
std::optional<route_policy> route_policy_from(std::string_view name) noexcept;

//! @return the hook of a policy. `draw` serves those that need chance.
route_hook make_route(route_policy policy, random_hook draw);

} // namespace lagoonquay
