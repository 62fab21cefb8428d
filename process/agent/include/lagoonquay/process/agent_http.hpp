//! HTTP routes of an agent for its upstream and for operators.
#pragma once

#include "lagoonquay/connection/http_message.hpp"

namespace lagoonquay
{

class agent_service;
class latency_statistics;

//! @return the routes for the upstream. The service must outlive the handler.
http_handler upstream_routes(agent_service& service);

//! @return the routes for operators; `calls` holds the durations of the calls
//! of the upstream. Both must outlive the handler.
http_handler agent_operator_routes(agent_service& service,
                                   const latency_statistics& calls);

} // namespace lagoonquay
