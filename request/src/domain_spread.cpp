#include "lagoonquay/request/domain_spread.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace lagoonquay
{

std::vector<std::size_t>
spread_over_domains(const std::vector<spread_candidate>& candidates)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     { return candidates[a].score > candidates[b].score; });
    std::map<domain_id, std::size_t> seen;
    std::vector<std::size_t> ranks(candidates.size());
    for (const auto it : order)
        ranks[it] = seen[candidates[it].domain]++;
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     { return ranks[a] < ranks[b]; });
    return order;
}

} // namespace lagoonquay
