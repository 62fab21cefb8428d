//! Choice of the agent for a task. Pure; the policy is a hook.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! An agent that has room, as the entry knows it.
struct route_candidate
{
    agent_id agent;
    domain_id domain;
    std::uint32_t credits = 0;     //!< free credits at this entry
    std::uint32_t outstanding = 0; //!< this entry's tasks at the agent
    std::uint32_t slots = 0;
    resources capacity;

    friend bool operator==(const route_candidate&,
                           const route_candidate&) = default;
};

//! Picks an agent, or none to let the task wait. Thread-safe.
using route_hook = std::function<std::optional<agent_id>(
    const task&, const std::vector<route_candidate>&)>;

//! Draws a number below `bound`. Thread-safe.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

//! @return a policy that takes the agent with the fewest outstanding tasks
//! per slot among those with a credit that fit.
route_hook route_least_outstanding();

//! @return a policy that takes any agent with a credit that fits.
route_hook route_random(random_hook draw);

} // namespace lagoonquay
