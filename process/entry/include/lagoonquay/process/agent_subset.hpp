//! Which agents an entry links to. Pure.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/version/member.hpp"

#include <cstddef>
#include <vector>

namespace lagoonquay
{

//! Ranks agents by rendezvous hashing of the entry and the agent: entries have
//! subsets that overlap by chance, and a change of the fleet moves few links.
//! @param most  agents in the subset; a fleet of fewer is taken whole.
//! @return the subset, spread evenly over the failure domains.
std::vector<member> agent_subset(const entry_id& entry,
                                 const std::vector<member>& agents,
                                 std::size_t most);

} // namespace lagoonquay
