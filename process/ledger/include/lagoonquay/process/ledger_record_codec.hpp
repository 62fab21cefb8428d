//! Short JSON encoding of a page of records: what many records share stands
//! once in the page.
#pragma once

#include "lagoonquay/process/ledger_record_page.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>

namespace lagoonquay
{

//! Encodes a page with tables of agents, reaches and holders. A record takes
//! about 0.1 kB, an agent 50 bytes.
std::string encode_record_page(const ledger_record_page& page);

//! Decodes a page in this encoding, or in that of encode_ledger_records().
//! @return the page, or malformed / out_of_range.
request_result<ledger_record_page> decode_record_page(std::string_view text);

std::string encode_record_scope(const record_scope& scope);
//! @return the scope, or malformed.
request_result<record_scope> decode_record_scope(std::string_view text);

} // namespace lagoonquay
