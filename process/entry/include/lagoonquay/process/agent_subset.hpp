//! Selects the agents that an entry opens links to. No I/O or state.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/version/member.hpp"

#include <cstddef>
#include <vector>

namespace lagoonquay
{

//! Number of agents that one entry links to. What an entry knows of an agent
//! comes with the results of its own tasks there, so it is the older the more
//! entries share the agent. A small subset keeps it fresh.
//! @param max_agents  maximum that the settings allow.
//! @return enough for every agent to have several entries on average, so that
//! no agent is left without tasks.
std::size_t subset_size(std::size_t agents, std::size_t entries,
                        std::size_t max_agents) noexcept;

//! Ranks agents by rendezvous hashing of the entry and the agent: subsets of
//! different entries overlap at random, and few links change when agents come
//! or go.
//! @param max_agents  maximum size of the subset; if there are no more agents
//! than that, all are returned.
//! @return the subset, spread evenly over the failure domains.
std::vector<member> agent_subset(const entry_id& entry,
                                 const std::vector<member>& agents,
                                 std::size_t max_agents);

} // namespace lagoonquay
