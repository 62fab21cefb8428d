//! HTTP routes of an agent: its upstream and operators.
#pragma once

#include "lagoonquay/connection/http_message.hpp"

namespace lagoonquay
{

class agent_service;

//! @return the routes for the upstream. The service must outlive the handler.
http_handler upstream_routes(agent_service& service);

//! @return the routes for operators. The service must outlive the handler.
http_handler agent_operator_routes(agent_service& service);

} // namespace lagoonquay
