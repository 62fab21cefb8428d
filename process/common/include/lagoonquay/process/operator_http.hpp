//! HTTP routes that every process serves to operators.
#pragma once

#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/process/metrics_text.hpp"

#include <functional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! What a process shows of itself. Called from any I/O thread.
struct process_view
{
    std::function<std::string()> dump; //!< state as JSON
    std::function<process_metrics()> metrics;
};

//! @return the routes for the health check, the state dump and the metrics.
std::vector<http_route> operator_routes(const process_view& view);

//! @return the route of a health check, which succeeds while the process runs.
http_route health_route();

} // namespace lagoonquay
