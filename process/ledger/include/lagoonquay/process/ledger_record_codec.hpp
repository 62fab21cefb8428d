//! Short JSON encoding of a page of records: what many records share stands
//! once in the page.
#pragma once

#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/process/ledger_record_page.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! A page and the reaches that were told with it in the short form.
struct told_records
{
    ledger_record_page page;
    std::vector<agent_reach> reaches;

    friend bool operator==(const told_records&, const told_records&) = default;
};

//! Encodes a page with tables of agents, reaches and holders. A record takes
//! about 0.1 kB, an agent 50 bytes.
//! @param known  reaches that the reader has.
std::string encode_record_page(const ledger_record_page& page,
                               const reach_digests& known = {});

//! Decodes a page in this encoding, or in that of encode_ledger_records().
//! @param known  at least those that the writer knew of.
//! @return the page, or malformed / out_of_range.
request_result<told_records>
decode_record_page(std::string_view text, const reaches_by_digest& known = {});

//! What a younger replica says of itself as it asks for a page.
struct record_question
{
    record_scope scope;
    reach_digests known; //!< of the reaches that it has

    friend bool operator==(const record_question&,
                           const record_question&) = default;
};

std::string encode_record_question(const record_question& question);
//! @return the question, or malformed.
request_result<record_question> decode_record_question(std::string_view text);

} // namespace lagoonquay
