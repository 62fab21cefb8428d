#include "lagoonquay/process/log.hpp"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>

namespace logging = boost::log;

namespace lagoonquay
{

namespace
{

// Written once by open_log() before any thread starts.
log_options& active_options()
{
    static log_options options;
    return options;
}

std::string_view level_name(log_level level) noexcept
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

std::int64_t time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string json_line(log_level level, std::string_view part,
                      std::string_view submission, std::string_view text)
{
    boost::json::object line{{"time_ms", time_ms()},
                             {"level", level_name(level)},
                             {"process", active_options().process},
                             {"part", part}};
    if (!submission.empty())
        line["submission"] = submission;
    line["text"] = text;
    return boost::json::serialize(line);
}

std::string text_line(log_level level, std::string_view part,
                      std::string_view submission, std::string_view text)
{
    std::string line = std::to_string(time_ms()) + " ";
    line.append(level_name(level)).append(" ");
    line.append(active_options().process).append(" [");
    line.append(part).append("] ");
    if (!submission.empty())
        line.append(submission).append(": ");
    line.append(text);
    return line;
}

void write(log_level level, std::string_view part, std::string_view submission,
           std::string_view text)
{
    if (level < active_options().level)
        return;
    const bool json = active_options().format == log_format::json_lines;
    thread_local logging::sources::logger logger;
    BOOST_LOG(logger) << (json ? json_line(level, part, submission, text)
                               : text_line(level, part, submission, text));
}

} // namespace

void open_log(const log_options& options)
{
    active_options() = options;
    logging::add_console_log(std::clog,
                             logging::keywords::format =
                                 logging::expressions::stream
                                 << logging::expressions::smessage,
                             logging::keywords::auto_flush = true);
}

void write_log(log_level level, std::string_view part, std::string_view text)
{
    write(level, part, {}, text);
}

void write_log(log_level level, std::string_view part,
               const submission_id& submission, std::string_view text)
{
    write(level, part, submission.text(), text);
}

} // namespace lagoonquay
