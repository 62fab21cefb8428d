//! Selects the ledger replicas that decide on a submission. Pure.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

namespace lagoonquay
{

//! An entry as a candidate for the replicas of a submission.
struct ledger_peer
{
    endpoint address;
    domain_id domain;
    //! Joined, and others may not have it in their view yet.
    bool recently_joined = false;
    //! Was there before this entry, which others may not have in their view.
    bool older = false;
    //! Control has ceased to list it: others may have left it out already.
    bool unlisted = false;
    //! When this entry first heard of it.
    instant listed{};
    //! Others that have counted it for so long that the claims which they
    //! granted without it have ended; null if none.
    std::shared_ptr<const std::set<endpoint>> counted_by = nullptr;
    //! Whether it has counted this entry for so long.
    bool counts_self = false;

    friend bool operator==(const ledger_peer&, const ledger_peer&) = default;
};

//! Replicas whose majority decides on a submission.
struct replica_group
{
    std::vector<endpoint> others; //!< in the order to ask them
    bool local = true;            //!< includes the replica in this process
    //! Whether the group contains every entry, and so the holder of any claim.
    bool includes_all_entries = true;
    //! Those of `others` whose votes on claims don't count. They come last.
    std::vector<endpoint> unlisted;

    friend bool operator==(const replica_group&,
                           const replica_group&) = default;
};

//! Five replicas keep a majority when two of them are lost at once.
constexpr std::size_t max_group_size = 5;

//! @return the entries' positions in the order in which they come into the
//! group of a submission.
std::vector<std::size_t> replica_order(const submission_id& submission,
                                       const std::vector<ledger_peer>& entries);

//! @return a group of this entry and all others. The order depends on the
//! submission and is the same on every entry.
replica_group all_replicas_group(const submission_id& submission,
                                 const std::vector<endpoint>& others);

//! @param self  this entry; its `recently_joined` and `older` are false.
//! @return a group of up to `max_group_size` entries, spread over as many
//! failure domains as possible. Unlisted ones are members without a vote. While
//! peers have recently joined, also the groups chosen without them, and while
//! this entry has, that of the older ones, if they differ. Such a group is left
//! out once a majority of it counts who joined. A claim needs a majority of
//! each group.
std::vector<replica_group>
choose_replica_groups(const submission_id& submission, const ledger_peer& self,
                      const std::vector<ledger_peer>& peers);

} // namespace lagoonquay
