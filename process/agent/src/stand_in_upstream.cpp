#include "lagoonquay/process/stand_in_upstream.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <boost/json.hpp>
#include <charconv>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t default_run_ms = 50;
constexpr std::uint64_t max_run_ms = 3600000;
constexpr std::string_view tasks_path = "/v1/tasks/";

//! Duration and outcome of a task, as read from its payload.
struct requested_run
{
    duration length = std::chrono::milliseconds(default_run_ms);
    bool fail = false;
    bool hang = false;
};

requested_run parse_requested_run(const std::string& payload)
{
    requested_run requested;
    const auto document = parse_json(payload);
    if (!document)
        return requested;
    json_fields fields(document.value(), "payload");
    requested.length = std::chrono::milliseconds(
        fields.number_or("run_ms", default_run_ms, 0, max_run_ms));
    requested.fail = fields.flag_or("fail", false);
    requested.hang = fields.flag_or("hang", false);
    return requested;
}

// A request without a "run" parameter counts as agent run zero.
incarnation run_of(const http_request& request)
{
    const auto text = query_value(request.query, "run");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return incarnation(number);
}

} // namespace

stand_in_upstream::stand_in_upstream(delay_hook delay, start_record_hook record)
    : delay_(std::move(delay)), record_(std::move(record))
{
}

http_handler stand_in_upstream::routes()
{
    return [this](const http_request& request, const http_responder& respond)
    {
        if (!request.path.starts_with(tasks_path))
            return respond(error_response(http_status::not_found, "not_found",
                                          "no such path"));
        run(request, respond);
    };
}

std::uint64_t stand_in_upstream::started() const noexcept
{
    return started_;
}

const upstream_load& stand_in_upstream::load() const noexcept
{
    return load_;
}

std::uint64_t stand_in_upstream::hung() const noexcept
{
    return hung_;
}

void stand_in_upstream::run(const http_request& request,
                            const http_responder& respond)
{
    const auto submission = query_value(request.query, "submission");
    const auto index = request.path.substr(tasks_path.size());
    const auto attempt = query_value(request.query, "attempt");
    record_(submission + " " + index + " " + attempt);
    ++started_;
    const auto requested = parse_requested_run(request.body);
    if (requested.hang)
    {
        ++hung_;
        return;
    }
    const auto agent_run = run_of(request);
    load_.begin(agent_run);
    delay_(requested.length,
           [this, respond, submission, index, requested, agent_run]
           {
               load_.end(agent_run);
               if (requested.fail)
                   return respond(error_response(http_status::internal_error,
                                                 "failed", "failed to order"));
               respond({.body = submission + "/" + index + " done",
                        .content_type = "text/plain"});
           });
}

} // namespace lagoonquay
