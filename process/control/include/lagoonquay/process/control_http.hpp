//! HTTP routes of a control replica: members and operators.
#pragma once

#include "lagoonquay/connection/http_message.hpp"

namespace lagoonquay
{

class control_service;
class latency_statistics;

//! @return the routes for members and other replicas.
//! @param token  required of replicas that pass on commands; empty admits all.
//! The service must outlive the handler.
http_handler member_routes(control_service& service, std::string token);

//! @return the routes for operators. Both must outlive the handler.
//! @param syncs  how long writes to the disk took.
http_handler control_operator_routes(control_service& service,
                                     const latency_statistics& syncs);

} // namespace lagoonquay
