#include "lagoonquay/process/replica_group.hpp"

#include "lagoonquay/request/domain_spread.hpp"
#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>
#include <functional>

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

// Newest first. What joined before the latest moments counts as one.
std::vector<instant> join_times(const std::vector<ledger_peer>& peers)
{
    constexpr std::size_t max_moments = 4;
    std::set<instant, std::greater<>> times;
    for (const auto& it : peers)
    {
        if (it.recently_joined)
            times.insert(it.listed);
    }
    std::vector<instant> found(times.begin(), times.end());
    if (found.size() > max_moments)
        found.erase(found.begin() + max_moments - 1, found.end() - 1);
    return found;
}

//! @return the removed ones, which joined at that time or later.
std::vector<ledger_peer> remove_joined(std::vector<ledger_peer>& entries,
                                       instant since)
{
    const auto joined = std::stable_partition(entries.begin(), entries.end(),
                                              [&](const ledger_peer& it) {
                                                  return !it.recently_joined ||
                                                         it.listed < since;
                                              });
    std::vector<ledger_peer> removed(joined, entries.end());
    entries.erase(joined, entries.end());
    return removed;
}

std::size_t majority_of(const replica_group& group)
{
    return (group.others.size() + (group.local ? 1 : 0)) / 2 + 1;
}

//! @return whether a majority of the group counts all of these.
bool is_counted(const replica_group& group,
                const std::vector<ledger_peer>& joined)
{
    const auto known = std::count_if(
        group.others.begin(), group.others.end(),
        [&](const endpoint& replica)
        {
            return std::all_of(joined.begin(), joined.end(),
                               [&](const ledger_peer& it) {
                                   return it.counted_by &&
                                          it.counted_by->contains(replica);
                               });
        });
    // The replica here counts them for as long as any that told.
    const bool here =
        group.local && std::all_of(joined.begin(), joined.end(),
                                   [](const ledger_peer& it)
                                   { return it.counted_by != nullptr; });
    return static_cast<std::size_t>(known) + (here ? 1 : 0) >=
           majority_of(group);
}

bool counts_self(const replica_group& older,
                 const std::vector<ledger_peer>& entries)
{
    const auto known = std::count_if(
        entries.begin(), entries.end(),
        [&](const ledger_peer& it)
        {
            return it.counts_self &&
                   std::find(older.others.begin(), older.others.end(),
                             it.address) != older.others.end();
        });
    return static_cast<std::size_t>(known) >= majority_of(older);
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

// After an entry has joined, the views of the fleet differ. An entry whose view
// contains the new one, and the new one itself, need a majority of both groups,
// so that their quorums overlap that of an entry whose view does not contain it
// yet. Once a majority of the group without it counts it, that one is told of
// the group with it by each quorum. Of several that joined one after the other,
// others may know the first ones only.
std::vector<replica_group>
choose_replica_groups(const submission_id& submission, const ledger_peer& self,
                      const std::vector<ledger_peer>& peers)
{
    std::vector<ledger_peer> entries{self};
    entries.insert(entries.end(), peers.begin(), peers.end());
    std::vector<replica_group> groups{
        choose_group(submission, self.address, entries)};
    for (const auto since : join_times(peers))
    {
        const auto joined = remove_joined(entries, since);
        auto earlier = choose_group(submission, self.address, entries);
        if (!is_counted(earlier, joined))
            add_group(groups, std::move(earlier));
    }
    entries = peers;
    std::erase_if(entries, [](const ledger_peer& it) { return !it.older; });
    if (entries.empty())
        return groups;
    auto older = choose_group(submission, self.address, entries);
    older.includes_all_entries = false;
    if (counts_self(older, entries))
        return groups;
    add_group(groups, std::move(older));
    return groups;
}

} // namespace lagoonquay
