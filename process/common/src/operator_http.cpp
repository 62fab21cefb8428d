#include "lagoonquay/process/operator_http.hpp"

#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

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
