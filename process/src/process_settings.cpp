#include "lagoonquay/process/process_settings.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fstream>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t most_threads = 64;

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
    std::vector<endpoint> found;
    const auto text = file.text_or(section, key, "");
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::is_any_of(","));
    for (auto& it : parts)
    {
        boost::algorithm::trim(it);
        if (it.empty())
            continue;
        auto parsed = parse_endpoint(it);
        if (!parsed)
        {
            file.reject(section, key, parsed.error().detail);
            return found;
        }
        found.push_back(std::move(parsed).value());
    }
    return found;
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
    std::ifstream in(path);
    std::string token;
    std::getline(in, token);
    if (token.empty())
        file.reject("operators", "token_file",
                    path + " holds no token or cannot be read");
    return token;
}

process_settings read_common(ini_file& file)
{
    process_settings common;
    common.id = file.text("process", "id");
    common.domain = domain_id(file.text("process", "domain"));
    common.threads =
        file.number_or("process", "threads", common.threads, 1, most_threads);
    common.log = read_log(file, common.id);
    common.operators = read_endpoint(file, "operators", "listen");
    common.operator_token = read_token(file);
    common.control = read_endpoints(file, "control", "replicas");
    if (common.control.empty())
        file.reject("control", "replicas", "is missing");
    return common;
}

// Turns an error of the version layer into this layer's.
process_result<void> checked(const version_result<void>& read)
{
    if (!read)
        return fail(process_errc::bad_settings, read.error().detail);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<ini_file> open_settings(const std::string& path)
{
    auto file = ini_file::load(path);
    if (!file)
        return fail(process_errc::bad_settings, file.error().detail);
    return std::move(file).value();
}

} // namespace

process_result<entry_settings> load_entry_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto file, open_settings(path));
    entry_settings settings;
    settings.process = read_common(file);
    settings.callers = read_endpoint(file, "callers", "listen");
    settings.peers = read_endpoint(file, "peers", "listen");
    settings.ledger_peers = read_endpoints(file, "ledger", "peers");
    BOOST_OUTCOME_TRY(checked(file.finish()));
    return settings;
}

process_result<agent_settings> load_agent_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto file, open_settings(path));
    agent_settings settings;
    settings.process = read_common(file);
    settings.entries = read_endpoint(file, "entries", "listen");
    settings.upstream = read_endpoint(file, "upstream", "listen");
    BOOST_OUTCOME_TRY(checked(file.finish()));
    return settings;
}

process_result<control_settings> load_control_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto file, open_settings(path));
    control_settings settings;
    settings.process = read_common(file);
    settings.members = read_endpoint(file, "members", "listen");
    settings.data_folder = file.text("storage", "folder");
    settings.bootstrap = file.flag_or("storage", "bootstrap", false);
    BOOST_OUTCOME_TRY(checked(file.finish()));
    return settings;
}

} // namespace lagoonquay
