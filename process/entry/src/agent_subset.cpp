#include "lagoonquay/process/agent_subset.hpp"

#include "lagoonquay/request/domain_spread.hpp"
#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! Enough for a wide job to find free workers.
constexpr std::size_t min_subset = 24;

//! Entries that link to one agent, on average and at least. Subsets overlap at
//! random, so with fewer some agents would have none.
constexpr std::size_t entries_per_agent = 4;

std::uint64_t score(const entry_id& entry, const member& agent) noexcept
{
    const auto own = stable_hash(stable_hash_start, entry.text());
    return mix_hash(stable_hash(own * 31, agent->id));
}

} // namespace

std::size_t subset_size(std::size_t agents, std::size_t entries,
                        std::size_t max_agents) noexcept
{
    const auto sharing = std::max(entries, std::size_t{1});
    const auto covering = (entries_per_agent * agents + sharing - 1) / sharing;
    return std::min(std::max(min_subset, covering), max_agents);
}

std::vector<member> agent_subset(const entry_id& entry,
                                 const std::vector<member>& agents,
                                 std::size_t max_agents)
{
    if (agents.size() <= max_agents)
        return agents;
    std::vector<spread_candidate> candidates;
    candidates.reserve(agents.size());
    for (const auto& it : agents)
        candidates.push_back({it->domain, score(entry, it)});
    std::vector<member> chosen;
    chosen.reserve(max_agents);
    for (const auto it : spread_over_domains(candidates))
    {
        if (chosen.size() == max_agents)
            break;
        chosen.push_back(agents[it]);
    }
    return chosen;
}

} // namespace lagoonquay
