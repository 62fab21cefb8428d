//! Structured log of a process. Thread-safe; never waits for its reader.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

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

//! Writes some lines; may block. Called from one thread only.
using log_output = std::function<void(std::string_view lines)>;

struct log_options
{
    log_level level = log_level::info;
    log_format format = log_format::text;
    std::string process; //!< id of this process, on every line
    //! Most bytes that wait for the reader; lines beyond are dropped, and
    //! their number is written once there is room.
    std::size_t waiting_bytes = 256UL * 1024;

    friend bool operator==(const log_options&, const log_options&) = default;
};

//! What a line says of its writer.
struct log_origin
{
    std::int64_t time_ms = 0;
    std::string process;

    friend bool operator==(const log_origin&, const log_origin&) = default;
};

//! Returns the origin of a line that is being written.
using log_origin_hook = std::function<log_origin()>;

//! Sets up the log. Call once, before any thread starts.
//! @param output  by default writes to standard output.
//! @param origin  by default the time of day and the process of the options.
void open_log(const log_options& options, log_output output = {},
              log_origin_hook origin = {});

//! Writes out what waits, unless one write takes 2 s, and ends the log.
void close_log();

//! @return lines that were dropped since the start.
std::uint64_t dropped_log_lines() noexcept;

//! One input or outcome of a decision.
struct log_field
{
    std::string_view name;
    std::variant<std::int64_t, std::string_view> value;
};

//! Writes one line with the prefix of its part.
void write_log(log_level level, std::string_view part, std::string_view text);

//! Writes one line about a job.
void write_log(log_level level, std::string_view part,
               const submission_id& submission, std::string_view text);

//! Writes one line about a decision: what it was, and what decided it.
//! @param submission  of the job; may be empty.
void write_event(log_level level, std::string_view part,
                 const submission_id& submission, std::string_view event,
                 std::initializer_list<log_field> fields);

} // namespace lagoonquay
