#include "lagoonquay/process/operator_http.hpp"

#include "lagoonquay/connection/intake_budget.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

void add_intake_samples(process_metrics& all)
{
    const auto& intake = *process_intake();
    all.samples.push_back({"lagoonquay_connections",
                           "Open connections and links of all listeners.",
                           metric_kind::gauge, intake.connections()});
    all.samples.push_back({"lagoonquay_buffered_bytes",
                           "Requests that arrive and answers not taken yet.",
                           metric_kind::gauge, intake.bytes()});
    all.samples.push_back({"lagoonquay_memory_evictions_total",
                           "Requests and answers given up for want of memory.",
                           metric_kind::counter, intake.evictions()});
}

} // namespace

std::vector<http_route> operator_routes(const process_view& view)
{
    const auto dump = [view]() -> http_response
    {
        return {.body = add_latencies(view.dump(), view.metrics())};
    };
    const auto metrics = [view]() -> http_response
    {
        auto all = view.metrics();
        all.samples.push_back({"lagoonquay_log_lines_dropped_total",
                               "Lines of the log that found no room.",
                               metric_kind::counter, dropped_log_lines()});
        add_intake_samples(all);
        return {.body = encode_metrics(all),
                .content_type = metrics_content_type};
    };
    return {health_route(),
            {http_method::get, "/v1/state", answer_with(dump)},
            {http_method::get, "/metrics", answer_with(metrics)}};
}

http_route health_route()
{
    const auto healthy = []() -> http_response
    {
        return {.body = R"({"healthy":true})"};
    };
    return {http_method::get, "/healthz", answer_with(healthy)};
}

} // namespace lagoonquay
