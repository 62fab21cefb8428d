#include "lagoonquay/process/decision_log.hpp"

namespace lagoonquay
{

void log_refused_request(std::string_view part, const refused_request& it)
{
    write_event(log_level::info, part, it.submission, "request_refused",
                {{"reason", it.reason},
                 {"status", static_cast<std::int64_t>(it.status)},
                 {"queues", static_cast<std::int64_t>(it.queues.number())},
                 {"view_age_ms", milliseconds_of(it.view_age)},
                 {"detail", it.detail}});
}

void log_version(std::string_view part, const permit& granted)
{
    const auto& view = *granted->view;
    std::string out;
    for (const auto& it : granted->out_domains)
        out.append(out.empty() ? "" : ",").append(it.text());
    write_event(
        log_level::info, part, {}, "version_applied",
        {{"version", static_cast<std::int64_t>(view.version.number())},
         {"queues", static_cast<std::int64_t>(view.catalog->revision.number())},
         {"out", out}});
}

} // namespace lagoonquay
