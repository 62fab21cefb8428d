//! Which ledger replicas decide on a submission. Pure.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/ids.hpp"

#include <cstddef>
#include <vector>

namespace lagoonquay
{

//! An entry as the others know it.
struct ledger_peer
{
    endpoint address;
    domain_id domain;
    bool fresh = false; //!< named so lately that others may not know it yet

    friend bool operator==(const ledger_peer&, const ledger_peer&) = default;
};

//! Replicas of which a majority decides on a submission.
struct replica_group
{
    std::vector<endpoint> others; //!< the first to ask first
    bool local = true;            //!< whether the replica here is one of them
    //! Whether every entry is one of them, so that each holder of a claim is.
    bool whole = true;

    friend bool operator==(const replica_group&,
                           const replica_group&) = default;
};

//! Two of the replicas of a submission may be lost at once.
constexpr std::size_t group_size = 5;

//! @return a group of all, in an order that all entries share.
replica_group whole_group(const submission_id& submission,
                          const std::vector<endpoint>& others);

//! @param self  the entry here; it is never fresh to itself.
//! @return the group of up to `group_size` entries, in different failure
//! domains as far as there are, and while peers are fresh also the group
//! without these, if it differs. A claim needs a majority of each.
std::vector<replica_group> groups_of(const submission_id& submission,
                                     const ledger_peer& self,
                                     const std::vector<ledger_peer>& peers);

} // namespace lagoonquay
