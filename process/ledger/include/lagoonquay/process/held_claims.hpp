//! What an entry tells a young ledger replica.
#pragma once

#include "lagoonquay/process/claim.hpp"

#include <vector>

namespace lagoonquay
{

//! What another entry said about its claims.
struct held_claims
{
    //! The peer's process is gone, so that it holds none.
    bool gone = false;
    //! No run of an earlier life of the peer is left: every agent has met the
    //! present one.
    bool settled = false;
    std::vector<claim_request> claims;

    friend bool operator==(const held_claims&, const held_claims&) = default;
};

} // namespace lagoonquay
