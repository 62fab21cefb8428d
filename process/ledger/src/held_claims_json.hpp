//! What an entry tells beside the claims that it holds. Private to the ledger.
#pragma once

#include "lagoonquay/process/held_claims.hpp"
#include "lagoonquay/request/json_fields.hpp"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace lagoonquay
{

//! @return the addresses in one text, as parse_endpoints() reads it.
std::string endpoints_to_text(const std::vector<endpoint>& all);

//! Adds all but the claims to a message.
void write_held_state(boost::json::object& message, const held_claims& held);

//! @return all but the claims.
held_claims read_held_state(json_fields& fields);

} // namespace lagoonquay
