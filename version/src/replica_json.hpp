//! JSON documents, and values of log entries and replicas, shared by the codecs
//! of this folder.
#pragma once

#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/log_entry.hpp"
#include "version_json.hpp"

namespace lagoonquay
{

constexpr std::size_t replica_id_bytes = 256;
constexpr std::size_t snapshot_data_bytes = 256UL * 1024 * 1024;

version_result<boost::json::value> parse_document(std::string_view text);

//! @return the failure for a document of which the fields were rejected.
inline auto malformed(const json_fields& fields)
{
    return fail(version_errc::malformed, fields.error().detail);
}

boost::json::object member_to_json(const replica_member& it);
replica_member replica_member_from_json(const boost::json::value& source,
                                        json_fields& parent);
boost::json::array members_to_json(const membership& all);
membership members_from_json(json_fields& fields, std::string_view key);

boost::json::object entry_to_json(const log_entry& entry);
log_entry entry_from_json(const boost::json::value& source,
                          json_fields& parent);

log_index index_of(json_fields& fields, std::string_view key);
term_number term_of(json_fields& fields, std::string_view key);
std::string wide(std::uint64_t number);

} // namespace lagoonquay
