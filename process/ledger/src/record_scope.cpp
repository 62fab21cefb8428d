#include "lagoonquay/process/record_scope.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! Entries that may have left the groups of others already.
constexpr std::size_t spare_places = 2;

} // namespace

record_scope make_record_scope(const ledger_peer& self,
                               const std::vector<ledger_peer>& peers)
{
    record_scope_options options{.self = self.address,
                                 .entries = {{self.address, self.domain}}};
    for (const auto& it : peers)
        options.entries.push_back({it.address, it.domain});
    return record_scope(std::move(options));
}

bool covers(const record_scope& scope, const submission_id& submission)
{
    constexpr std::size_t places = max_group_size + spare_places;
    if (scope->entries.size() <= places)
        return true;
    std::vector<ledger_peer> entries;
    entries.reserve(scope->entries.size());
    for (const auto& it : scope->entries)
        entries.push_back({.address = it.address, .domain = it.domain});
    const auto order = replica_order(submission, entries);
    return std::any_of(order.begin(), order.begin() + places,
                       [&](std::size_t it)
                       { return entries[it].address == scope->self; });
}

} // namespace lagoonquay
