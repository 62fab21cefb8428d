//! Which submissions a replica that began anew takes records of over. Pure.
#pragma once

#include "lagoonquay/process/replica_group.hpp"
#include "lagoonquay/request/immutable.hpp"

namespace lagoonquay
{

//! An entry among those that a scope was made from.
struct scope_entry
{
    endpoint address;
    domain_id domain;

    friend bool operator==(const scope_entry&, const scope_entry&) = default;
};

struct record_scope_options
{
    endpoint self; //!< the replica that begins anew
    //! All entries that it knows, with itself. Empty: it covers everything.
    std::vector<scope_entry> entries;

    friend bool operator==(const record_scope_options&,
                           const record_scope_options&) = default;
};

//! The submissions whose group contains the replica, or would if a few other
//! entries were gone. It votes on no other while it is young.
using record_scope = immutable<record_scope_options>;

//! @return the scope of a replica that knows these peers.
record_scope make_record_scope(const ledger_peer& self,
                               const std::vector<ledger_peer>& peers);

bool covers(const record_scope& scope, const submission_id& submission);

} // namespace lagoonquay
