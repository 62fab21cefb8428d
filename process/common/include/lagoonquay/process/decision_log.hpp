//! Lines about what several programs decide or learn.
#pragma once

#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/permit.hpp"

namespace lagoonquay
{

//! @return whole milliseconds of a span, for a line of the log.
inline std::int64_t milliseconds_of(duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

//! A request that a process turned away before it became a job or a command.
struct refused_request
{
    submission_id submission; //!< empty if the request names none
    std::string_view reason;  //!< stable name in lower case
    http_status status = http_status::bad_request;
    std::string_view detail;
    catalog_revision queues; //!< in force here
    duration view_age{};     //!< since the queues were confirmed

    friend bool operator==(const refused_request&,
                           const refused_request&) = default;
};

//! Writes that a request was turned away, and why.
void log_refused_request(std::string_view part, const refused_request& it);

//! Writes that a newer version of the fleet's state is applied.
void log_version(std::string_view part, const permit& granted);

} // namespace lagoonquay
