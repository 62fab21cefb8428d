//! Answer of an entry to a ledger replica that recovers after its start.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/claim.hpp"

#include <optional>
#include <vector>

namespace lagoonquay
{

//! The claims that another entry holds or has in flight, as it reports them.
//! The round of a new claim in flight is zero.
struct held_claims
{
    //! The peer's process has ended, so that it holds no claims.
    bool gone = false;
    //! No run of an earlier incarnation of the peer is left: every agent has
    //! been in contact with the current incarnation.
    bool settled = false;
    std::vector<claim_request> claims;
    //! The entries that the peer knows to have been there before recent ones;
    //! none while it is a new one itself. Nothing if the peer doesn't tell.
    std::optional<std::vector<endpoint>> established;
    //! Time since the peer's first list from control; 0 if it doesn't tell.
    duration listed_for{};

    entries_digest entries; //!< that the peer counts; zero if unknown
    //! For how long it has counted all of them; nothing if it is of an earlier
    //! version, which doesn't tell.
    std::optional<duration> entries_for;

    friend bool operator==(const held_claims&, const held_claims&) = default;
};

} // namespace lagoonquay
