//! Short JSON encoding of the claims that an entry holds: what many of them
//! share stands once, and reaches that the reader has are named.
#pragma once

#include "lagoonquay/process/held_claims.hpp"
#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Held claims and the reaches that were told with them in the short form.
struct told_claims
{
    held_claims held;
    std::vector<agent_reach> reaches;

    friend bool operator==(const told_claims&, const told_claims&) = default;
};

//! Encodes what encode_held_claims() does; `close`, `release` and `lookup`,
//! which no held claim has, are left out. A claim takes about 60 bytes.
//! @param known  reaches that the reader has.
std::string encode_short_held_claims(const held_claims& held,
                                     const reach_digests& known);

//! Decodes claims in this encoding, or in that of encode_held_claims().
//! @param known  at least those that the writer knew of.
//! @return the claims, or malformed / out_of_range.
request_result<told_claims>
decode_short_held_claims(std::string_view text, const reaches_by_digest& known);

} // namespace lagoonquay
