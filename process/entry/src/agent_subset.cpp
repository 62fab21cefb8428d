#include "lagoonquay/process/agent_subset.hpp"

#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>

namespace lagoonquay
{

namespace
{

std::uint64_t score(const entry_id& entry, const member& agent) noexcept
{
    const auto own = stable_hash(stable_hash_start, entry.text());
    return mix_hash(stable_hash(own * 31, agent->id));
}

struct ranked_agent
{
    std::size_t rank_in_domain = 0;
    std::uint64_t score = 0;
    const member* agent = nullptr;
};

} // namespace

// The best of each failure domain come first, then the second best, and so on.
std::vector<member> agent_subset(const entry_id& entry,
                                 const std::vector<member>& agents,
                                 std::size_t most)
{
    if (agents.size() <= most)
        return agents;
    std::vector<ranked_agent> ranked;
    ranked.reserve(agents.size());
    for (const auto& it : agents)
        ranked.push_back({0, score(entry, it), &it});
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right)
              { return left.score > right.score; });
    std::map<domain_id, std::size_t> seen;
    for (auto& it : ranked)
        it.rank_in_domain = seen[(*it.agent)->domain]++;
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right)
                     { return left.rank_in_domain < right.rank_in_domain; });
    std::vector<member> chosen;
    chosen.reserve(most);
    for (const auto& it : ranked)
    {
        if (chosen.size() == most)
            break;
        chosen.push_back(*it.agent);
    }
    return chosen;
}

} // namespace lagoonquay
