//! Selects the agents that an entry opens links to. No I/O or state.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/version/member.hpp"

#include <cstddef>
#include <vector>

namespace lagoonquay
{

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
