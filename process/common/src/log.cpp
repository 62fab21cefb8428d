#include "lagoonquay/process/log.hpp"

#include "log_queue.hpp"

#include <array>
#include <boost/json.hpp>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <cerrno>
#include <chrono>
#include <unistd.h>

namespace logging = boost::log;

namespace lagoonquay
{

namespace
{

//! The attribute of a record that holds the whole line.
const logging::attribute_name line_attribute("Line");

//! Hands the lines of records to the queue.
class queue_backend : public logging::sinks::basic_sink_backend<
                          logging::sinks::concurrent_feeding>
{
public:
    queue_backend(std::size_t most_bytes, log_output output)
        : queue_(most_bytes, std::move(output))
    {
    }

    void consume(const logging::record_view& record)
    {
        if (const auto line = record[line_attribute].extract<std::string>())
            queue_.push(*line);
    }

    log_queue& queue() noexcept
    {
        return queue_;
    }

private:
    log_queue queue_;
};

//! The log of this process. Written by open_log() before any thread starts.
struct active_log
{
    log_options options;
    log_origin_hook origin;
    boost::shared_ptr<queue_backend> backend;
};

active_log& active()
{
    static active_log log;
    return log;
}

// A reader that is gone ends the output, not the process.
void write_to_standard_output(std::string_view lines)
{
    while (!lines.empty())
    {
        const auto n = ::write(STDOUT_FILENO, lines.data(), lines.size());
        if (n < 0 && errno != EINTR)
            return;
        lines.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
    }
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

log_origin origin_of_line()
{
    if (active().origin)
        return active().origin();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
            active().options.process};
}

std::string text_of(const log_field& field)
{
    if (const auto* number = std::get_if<std::int64_t>(&field.value))
        return std::to_string(*number);
    return std::string(std::get<std::string_view>(field.value));
}

//! What a line tells besides its time, level and process.
struct log_content
{
    std::string_view part;
    std::string_view submission;
    std::string_view text;  //!< a sentence, or empty
    std::string_view event; //!< a decision, or empty
    std::initializer_list<log_field> fields;
};

//! Lines up to about this size are put together without further memory.
constexpr std::size_t usual_line_bytes = 2048;

std::string json_line(log_level level, const log_content& it)
{
    std::array<unsigned char, usual_line_bytes> buf;
    boost::json::monotonic_resource memory(buf.data(), buf.size());
    const auto origin = origin_of_line();
    boost::json::object line({{"time_ms", origin.time_ms},
                              {"level", level_name(level)},
                              {"process", origin.process},
                              {"part", it.part}},
                             &memory);
    if (!it.submission.empty())
        line["submission"] = it.submission;
    if (!it.event.empty())
        line["event"] = it.event;
    for (const auto& field : it.fields)
    {
        if (const auto* number = std::get_if<std::int64_t>(&field.value))
            line[field.name] = *number;
        else
            line[field.name] = std::get<std::string_view>(field.value);
    }
    if (!it.text.empty())
        line["text"] = it.text;
    return boost::json::serialize(line);
}

std::string text_line(log_level level, const log_content& it)
{
    const auto origin = origin_of_line();
    std::string line = std::to_string(origin.time_ms) + " ";
    line.append(level_name(level)).append(" ");
    line.append(origin.process).append(" [");
    line.append(it.part).append("] ");
    if (!it.submission.empty())
        line.append(it.submission).append(": ");
    line.append(it.event).append(it.text);
    for (const auto& field : it.fields)
        line.append(" ").append(field.name).append("=").append(text_of(field));
    return line;
}

void write(log_level level, const log_content& it)
{
    if (level < active().options.level)
        return;
    const bool json = active().options.format == log_format::json_lines;
    thread_local logging::sources::logger logger;
    auto record = logger.open_record();
    if (!record)
        return;
    record.attribute_values().insert(
        line_attribute,
        logging::attributes::make_attribute_value(json ? json_line(level, it)
                                                       : text_line(level, it)));
    logger.push_record(std::move(record));
}

} // namespace

void open_log(const log_options& options, log_output output,
              log_origin_hook origin)
{
    close_log();
    auto& log = active();
    log.options = options;
    log.origin = std::move(origin);
    log.backend = boost::make_shared<queue_backend>(
        options.waiting_bytes,
        output ? std::move(output) : log_output(write_to_standard_output));
    logging::core::get()->add_sink(
        boost::make_shared<logging::sinks::unlocked_sink<queue_backend>>(
            log.backend));
}

void close_log()
{
    auto& log = active();
    if (!log.backend)
        return;
    log.backend->queue().drain();
    logging::core::get()->remove_all_sinks();
    log.backend.reset();
    log.origin = {};
}

std::uint64_t dropped_log_lines() noexcept
{
    const auto& backend = active().backend;
    return backend ? backend->queue().dropped() : 0;
}

void write_log(log_level level, std::string_view part, std::string_view text)
{
    write(level, {part, {}, text, {}, {}});
}

void write_log(log_level level, std::string_view part,
               const submission_id& submission, std::string_view text)
{
    write(level, {part, submission.text(), text, {}, {}});
}

void write_event(log_level level, std::string_view part,
                 const submission_id& submission, std::string_view event,
                 std::initializer_list<log_field> fields)
{
    write(level, {part, submission.text(), {}, event, fields});
}

} // namespace lagoonquay
