//! JSON encoding of claims, records and votes.
#pragma once

#include "lagoonquay/process/held_claims.hpp"
#include "lagoonquay/process/ledger_record_page.hpp"
#include "lagoonquay/process/ledger_shard.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

std::string encode_claim_request(const claim_request& request);
//! @return the request, or malformed / out_of_range.
request_result<claim_request> decode_claim_request(std::string_view text);

//! Encodes the claims that an entry holds. The lease of each claim is its
//! remaining time. `gone` is not encoded.
std::string encode_held_claims(const held_claims& held);
//! @return the claims, or malformed / out_of_range.
request_result<held_claims> decode_held_claims(std::string_view text);

//! Encodes records that a replica tells a younger one. Each distinct reach is
//! contained once.
std::string encode_ledger_records(const ledger_record_page& page);
//! @return the records, or malformed / out_of_range.
request_result<ledger_record_page> decode_ledger_records(std::string_view text);

std::string encode_claim_vote(const claim_vote& vote);
//! @return the vote, or malformed / out_of_range.
request_result<claim_vote> decode_claim_vote(std::string_view text);

} // namespace lagoonquay
