//! Structured log of a process. Thread-safe.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <string>
#include <string_view>

namespace lagoonquay
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

enum class log_format
{
    text,
    json_lines,
};

struct log_options
{
    log_level level = log_level::info;
    log_format format = log_format::text;
    std::string process; //!< id of this process, on every line

    friend bool operator==(const log_options&, const log_options&) = default;
};

//! Sets up the log on standard error. Call once, before any thread starts.
void open_log(const log_options& options);

//! Writes one line with the prefix of its part.
void write_log(log_level level, std::string_view part, std::string_view text);

//! Writes one line about a job.
void write_log(log_level level, std::string_view part,
               const submission_id& submission, std::string_view text);

} // namespace lagoonquay
