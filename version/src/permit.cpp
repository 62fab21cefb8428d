#include "lagoonquay/version/permit.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

const fleet_view* newest_view(const std::vector<permit_vote>& votes,
                              const fleet_view& known) noexcept
{
    const fleet_view* newest = &known;
    for (const auto& it : votes)
    {
        if (!it.view || (*it.view)->version <= (*newest)->version)
            continue;
        newest = &*it.view;
    }
    return newest;
}

version_number newest_version(const std::vector<permit_vote>& votes) noexcept
{
    version_number newest;
    for (const auto& it : votes)
        newest = std::max(newest, it.version);
    return newest;
}

} // namespace

duration left_of(const std::optional<permit>& held, instant now) noexcept
{
    if (!held)
        return duration::zero();
    return std::max((*held)->valid_until - now, duration::zero());
}

duration age_of(const permit& held, instant now) noexcept
{
    return now - (held->valid_until - permit_duration);
}

instant permit_time(const permit& held, permit_policy policy,
                    instant now) noexcept
{
    if (policy == permit_policy::expire)
        return now;
    return std::min(now, held->valid_until - duration(1));
}

bool is_majority(const std::vector<permit_vote>& votes,
                 std::size_t replicas) noexcept
{
    return votes.size() > replicas / 2;
}

// Any committed change is on a majority, so every majority read holds a
// replica that has it, committed or pending. Pending changes that forbid work
// are counted; so "out" is seen by each read that begins after its commit,
// whoever leads and whatever a frozen leader believes.
std::optional<permit> merge_votes(const std::vector<permit_vote>& votes,
                                  std::size_t replicas, const fleet_view& known,
                                  instant sent)
{
    if (!is_majority(votes, replicas))
        return std::nullopt;
    const auto* view = newest_view(votes, known);
    if ((*view)->version < newest_version(votes))
        return std::nullopt;
    permit_options merged;
    merged.view = *view;
    merged.out_domains = (*view)->out_domains;
    merged.drained_agents = (*view)->drained_agents;
    merged.valid_until = sent + permit_duration;
    for (const auto& it : votes)
    {
        merged.out_domains.insert(it.pending_out.begin(), it.pending_out.end());
        merged.drained_agents.insert(it.pending_drains.begin(),
                                     it.pending_drains.end());
    }
    return permit(std::move(merged));
}

bool allows_start(const permit& held, const agent_id& agent,
                  const domain_id& domain, instant now) noexcept
{
    return now < held->valid_until && !held->out_domains.contains(domain) &&
           !held->drained_agents.contains(agent);
}

bool allows_entry(const permit& held, const entry_id& entry,
                  instant now) noexcept
{
    return now < held->valid_until &&
           !held->view->drained_entries.contains(entry);
}

} // namespace lagoonquay
