#include "lagoonquay/process/replica_group.hpp"

#include "lagoonquay/request/domain_spread.hpp"
#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

std::uint64_t score(const submission_id& submission,
                    const endpoint& replica) noexcept
{
    const auto hash = stable_hash(stable_hash_start, submission.text());
    return mix_hash(stable_hash(hash, replica.address) + replica.port);
}

// An unlisted entry keeps its place: without it a group of another size or with
// another entry would decide, and not overlap those of entries that count it.
// Who has left it out replaces it by one entry, so a majority of this group
// without its vote overlaps a majority of that one.
replica_group choose_group(const submission_id& submission,
                           const endpoint& self,
                           const std::vector<ledger_peer>& entries)
{
    replica_group group;
    group.local = false;
    group.includes_all_entries = entries.size() <= max_group_size;
    auto order = replica_order(submission, entries);
    order.resize(std::min(order.size(), max_group_size));
    for (const auto it : order)
    {
        const auto& address = entries[it].address;
        if (address == self)
            group.local = true;
        else if (entries[it].unlisted)
            group.unlisted.push_back(address);
        else
            group.others.push_back(address);
    }
    group.others.insert(group.others.end(), group.unlisted.begin(),
                        group.unlisted.end());
    return group;
}

void add_group(std::vector<replica_group>& groups, replica_group more)
{
    const bool known = std::any_of(groups.begin(), groups.end(),
                                   [&](const replica_group& it) {
                                       return it.local == more.local &&
                                              it.others == more.others;
                                   });
    if (!known)
        groups.push_back(std::move(more));
}

} // namespace

std::vector<std::size_t> replica_order(const submission_id& submission,
                                       const std::vector<ledger_peer>& entries)
{
    std::vector<spread_candidate> candidates;
    candidates.reserve(entries.size());
    for (const auto& it : entries)
        candidates.push_back({it.domain, score(submission, it.address)});
    return spread_over_domains(candidates);
}

replica_group all_replicas_group(const submission_id& submission,
                                 const std::vector<endpoint>& others)
{
    replica_group group;
    group.others = others;
    std::sort(group.others.begin(), group.others.end(),
              [&](const endpoint& a, const endpoint& b)
              { return score(submission, a) > score(submission, b); });
    return group;
}

// For a moment after an entry has joined, the views of the fleet differ. An
// entry whose view contains the new one, and the new one itself, need a
// majority of both groups, so that their quorums overlap that of an entry whose
// view does not contain it yet.
std::vector<replica_group>
choose_replica_groups(const submission_id& submission, const ledger_peer& self,
                      const std::vector<ledger_peer>& peers)
{
    std::vector<ledger_peer> entries{self};
    entries.insert(entries.end(), peers.begin(), peers.end());
    std::vector<replica_group> groups{
        choose_group(submission, self.address, entries)};
    const auto removed = std::erase_if(entries, [](const ledger_peer& it)
                                       { return it.recently_joined; });
    if (removed > 0)
        add_group(groups, choose_group(submission, self.address, entries));
    entries = peers;
    std::erase_if(entries, [](const ledger_peer& it) { return !it.older; });
    if (entries.empty())
        return groups;
    auto older = choose_group(submission, self.address, entries);
    older.includes_all_entries = false;
    add_group(groups, std::move(older));
    return groups;
}

} // namespace lagoonquay
