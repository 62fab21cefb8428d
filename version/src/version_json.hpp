//! JSON values of commands and views, shared by the codecs of this layer.
#pragma once

#include "lagoonquay/request/json_fields.hpp"
#include "lagoonquay/version/command.hpp"

#include <boost/json.hpp>

namespace lagoonquay
{

boost::json::object command_to_json(const command& asked);
command command_from_json(json_fields& fields);

boost::json::object view_to_json(const fleet_view& view);
fleet_view view_from_json(const boost::json::value& source,
                          json_fields& parent);

} // namespace lagoonquay
