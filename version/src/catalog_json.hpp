//! JSON values of queue catalogs.
#pragma once

#include "lagoonquay/request/json_fields.hpp"
#include "lagoonquay/version/catalog_changes.hpp"

#include <boost/json.hpp>

namespace lagoonquay
{

boost::json::object catalog_to_json(const queue_catalog& catalog);
queue_catalog catalog_from_json(const boost::json::value& source,
                                json_fields& parent);

boost::json::object catalog_changes_to_json(const catalog_changes& changes);
catalog_changes catalog_changes_from_json(const boost::json::value& source,
                                          json_fields& parent);

} // namespace lagoonquay
