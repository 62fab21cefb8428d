#include "lagoonquay/process/process_settings.hpp"

#include "lagoonquay/request/text.hpp"

#include <algorithm>
#include <fstream>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t most_threads = 64;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;
constexpr duration second = std::chrono::seconds(1);
constexpr duration minute = std::chrono::minutes(1);
constexpr duration hour = std::chrono::hours(1);
constexpr duration millisecond = std::chrono::milliseconds(1);

endpoint read_endpoint(ini_file& file, std::string_view section,
                       std::string_view key)
{
    const auto text = file.text(section, key);
    if (text.empty())
        return {};
    auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        file.reject(section, key, parsed.error().detail);
        return {};
    }
    return std::move(parsed).value();
}

std::vector<endpoint> read_endpoints(ini_file& file, std::string_view section,
                                     std::string_view key)
{
    auto parsed = parse_endpoints(file.text_or(section, key, ""));
    if (parsed)
        return std::move(parsed).value();
    file.reject(section, key, parsed.error().detail);
    return {};
}

log_options read_log(ini_file& file, const std::string& id)
{
    log_options log;
    log.process = id;
    const auto level = file.text_or("log", "level", "info");
    if (level == "debug")
        log.level = log_level::debug;
    else if (level == "warning")
        log.level = log_level::warning;
    else if (level == "error")
        log.level = log_level::error;
    else if (level != "info")
        file.reject("log", "level",
                    "'" + level + "' is not debug, info, warning or error");
    const auto format = file.text_or("log", "format", "text");
    if (format == "json")
        log.format = log_format::json_lines;
    else if (format != "text")
        file.reject("log", "format", "'" + format + "' is not text or json");
    return log;
}

std::string read_token(ini_file& file)
{
    const auto path = file.text_or("operators", "token_file", "");
    if (path.empty())
        return {};
    auto token = read_token_file(path);
    if (!token)
        file.reject("operators", "token_file", token.error().detail);
    return token ? std::move(token).value() : std::string();
}

listener_limits read_limits(ini_file& file)
{
    constexpr std::uint64_t most_connections = 65536;
    constexpr std::size_t usual_buffered_bytes = 16 * mebibyte;
    constexpr std::string_view section = "limits";
    listener_limits it;
    it.body_bytes = file.number_or(section, "body_bytes", it.body_bytes,
                                   kibibyte, 256 * mebibyte);
    it.header_bytes = static_cast<std::uint32_t>(file.number_or(
        section, "header_bytes", it.header_bytes, kibibyte, mebibyte));
    it.connections = file.number_or(section, "connections", it.connections, 1,
                                    most_connections);
    it.process_connections =
        file.number_or(section, "process_connections", it.process_connections,
                       0, most_connections);
    const auto least_buffered = 2 * it.body_bytes;
    it.buffered_bytes =
        file.number_or(section, "buffered_bytes",
                       std::max(least_buffered, usual_buffered_bytes),
                       least_buffered, 1024 * mebibyte);
    it.idle_timeout = file.duration_or(section, "idle_timeout", it.idle_timeout,
                                       second, hour);
    it.read_timeout = file.duration_or(section, "read_timeout", it.read_timeout,
                                       second, hour);
    return it;
}

job_limits read_job_limits(ini_file& file)
{
    constexpr std::uint64_t most_tasks = 10000;
    constexpr std::string_view section = "jobs";
    job_limits it;
    it.tasks = file.number_or(section, "tasks", it.tasks, 1, most_tasks);
    it.payload_bytes =
        file.number_or(section, "payload_bytes", it.payload_bytes, 1, mebibyte);
    it.longest_time_limit =
        file.duration_or(section, "longest_time_limit", it.longest_time_limit,
                         second, 24 * hour);
    it.default_time_limit =
        file.duration_or(section, "default_time_limit", it.default_time_limit,
                         millisecond, 24 * hour);
    if (it.default_time_limit > it.longest_time_limit)
        file.reject(section, "default_time_limit",
                    "is longer than longest_time_limit");
    return it;
}

// A record must outlive every submission that may still arrive. The margin is
// taken from the time by which a dispatch has to start, 1.25 s after it was
// sent.
void read_ledger(ini_file& file, entry_settings& it)
{
    constexpr std::string_view section = "ledger";
    it.ledger_peers = read_endpoints(file, section, "peers");
    it.claim_lease = file.duration_or(section, "claim_lease", it.claim_lease,
                                      second, minute);
    it.claim_margin = file.duration_or(section, "claim_margin", it.claim_margin,
                                       millisecond, second);
    it.clock_skew = file.duration_or(section, "clock_skew", it.clock_skew,
                                     millisecond, minute);
    it.oldest_submission = file.duration_or(
        section, "oldest_submission", it.oldest_submission, second, 24 * hour);
    it.claim_retention = file.duration_or(
        section, "claim_retention", it.claim_retention, second, 48 * hour);
    if (it.claim_margin * 2 > it.claim_lease)
        file.reject(section, "claim_margin",
                    "is more than half of claim_lease");
    if (it.claim_retention < it.oldest_submission + 2 * it.clock_skew)
        file.reject(section, "claim_retention",
                    "is shorter than oldest_submission and twice clock_skew");
}

std::string read_id(ini_file& file, std::string_view key)
{
    auto id = file.text("process", key);
    if (!id.empty() && !is_valid_id(id))
        file.reject("process", key,
                    "'" + id +
                        "' is not letters, digits, '.', '_', ':' or '-'"
                        " after a letter or a digit");
    return id;
}

process_settings read_common(ini_file& file)
{
    process_settings common;
    common.source = file.name();
    common.id = read_id(file, "id");
    common.domain = domain_id(read_id(file, "domain"));
    common.threads =
        file.number_or("process", "threads", common.threads, 1, most_threads);
    common.log = read_log(file, common.id);
    common.operators = read_endpoint(file, "operators", "listen");
    common.operator_token = read_token(file);
    common.control = read_endpoints(file, "control", "replicas");
    if (common.control.empty())
        file.reject("control", "replicas", "is missing");
    common.limits = read_limits(file);
    return common;
}

//! Reads a whole file of one kind of process.
template <typename Settings>
process_result<Settings> load(const std::string& path,
                              Settings (*read)(ini_file&))
{
    BOOST_OUTCOME_TRY(auto file, open_settings(path));
    auto settings = read(file);
    BOOST_OUTCOME_TRY(finish_settings(file));
    return settings;
}

} // namespace

process_result<ini_file> open_settings(const std::string& path)
{
    auto file = ini_file::load(path);
    if (!file)
        return fail(process_errc::bad_settings, file.error().detail);
    return std::move(file).value();
}

process_result<void> finish_settings(ini_file& file)
{
    const auto read = file.finish();
    if (!read)
        return fail(process_errc::bad_settings, read.error().detail);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<std::string> read_token_file(const std::string& path)
{
    std::ifstream in(path);
    std::string token;
    std::getline(in, token);
    if (token.empty())
        return fail(process_errc::bad_settings,
                    path + " holds no token or cannot be read");
    return token;
}

entry_settings read_entry_settings(ini_file& file)
{
    entry_settings settings;
    settings.process = read_common(file);
    settings.callers = read_endpoint(file, "callers", "listen");
    settings.drain_notice = file.duration_or(
        "callers", "drain_notice", settings.drain_notice, duration(), minute);
    settings.drain_job_end = file.duration_or(
        "callers", "drain_job_end", settings.drain_job_end, duration(), minute);
    settings.drain_end = file.duration_or(
        "callers", "drain_end", settings.drain_end, duration(), minute);
    if (settings.drain_end != duration() &&
        settings.drain_end <
            std::max(settings.drain_notice, settings.drain_job_end))
        file.reject("callers", "drain_end",
                    "is before drain_notice or drain_job_end");
    settings.peers = read_endpoint(file, "peers", "listen");
    settings.jobs = read_job_limits(file);
    settings.answer_retention = file.duration_or(
        "jobs", "answer_retention", settings.answer_retention, second, hour);
    read_ledger(file, settings);
    return settings;
}

agent_settings read_agent_settings(ini_file& file)
{
    agent_settings settings;
    settings.process = read_common(file);
    settings.entries = read_endpoint(file, "entries", "listen");
    settings.upstream = read_endpoint(file, "upstream", "listen");
    settings.answer_bytes =
        file.number_or("upstream", "answer_bytes", settings.answer_bytes,
                       kibibyte, 4 * mebibyte);
    settings.upstream_silence = file.duration_or(
        "upstream", "silence", settings.upstream_silence, second, minute);
    settings.record_retention =
        file.duration_or("upstream", "record_retention",
                         settings.record_retention, minute, 48 * hour);
    return settings;
}

control_settings read_control_settings(ini_file& file)
{
    control_settings settings;
    settings.process = read_common(file);
    settings.members = read_endpoint(file, "members", "listen");
    settings.data_folder = file.text("storage", "folder");
    settings.bootstrap = file.flag_or("storage", "bootstrap", false);
    return settings;
}

process_result<entry_settings> load_entry_settings(const std::string& path)
{
    return load(path, read_entry_settings);
}

process_result<agent_settings> load_agent_settings(const std::string& path)
{
    return load(path, read_agent_settings);
}

process_result<control_settings> load_control_settings(const std::string& path)
{
    return load(path, read_control_settings);
}

} // namespace lagoonquay
