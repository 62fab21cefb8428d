#include "lagoonquay/process/program.hpp"

#include "lagoonquay/connection/intake_budget.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/settings_watch.hpp"

#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <sys/resource.h>
#include <thread>

namespace lagoonquay
{

namespace
{

constexpr const char* version_text = "0.1.0";
constexpr duration settings_period = std::chrono::seconds(2);
constexpr auto idle_poll = std::chrono::milliseconds(20);

//! Leaves a quarter of the descriptors for files and connections to others.
std::size_t usual_process_connections()
{
    constexpr rlim_t fallback = 4096;
    rlimit limit{};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                       limit.rlim_cur != RLIM_INFINITY;
    return (known ? limit.rlim_cur : fallback) / 4 * 3;
}

cxxopts::Options make_options(const std::string& name,
                              const std::string& summary)
{
    cxxopts::Options options(name, summary);
    auto add = options.add_options();
    add("config", "settings file (INI)", cxxopts::value<std::string>());
    add("check", "check the settings file and exit");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    return options;
}

} // namespace

parsed_arguments parse_arguments(int argc, const char* const* argv,
                                 const std::string& name,
                                 const std::string& summary)
{
    auto options = make_options(name, summary);
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return {std::nullopt, exit_code::ok};
        }
        if (parsed.count("version") > 0)
        {
            print_version(name);
            return {std::nullopt, exit_code::ok};
        }
        if (parsed.count("config") == 0)
        {
            std::cerr << name << ": --config is required\n";
            return {std::nullopt, exit_code::usage};
        }
        return {program_arguments{parsed["config"].as<std::string>(),
                                  parsed.count("check") > 0},
                exit_code::ok};
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << name << ": " << e.what() << "\n";
        return {std::nullopt, exit_code::usage};
    }
}

void print_version(const std::string& name)
{
    std::cout << name << " " << version_text << "\n";
}

exit_code report(const layer_error<process_errc>& error)
{
    std::cerr << error.detail << "\n";
    return error.code == process_errc::bad_settings ? exit_code::bad_settings
                                                    : exit_code::failed;
}

incarnation draw_incarnation()
{
    std::random_device source;
    const std::uint64_t high = source();
    return incarnation(high << 32U | source());
}

void watch_settings(io_threads& io, const std::string& path,
                    std::function<void()> changed)
{
    const auto watch =
        std::make_shared<settings_watch>(path, std::move(changed));
    io.on_reload([watch] { watch->look(); });
    io.every(settings_period, [watch] { watch->look(); });
}

void log_bad_reload(const layer_error<process_errc>& error)
{
    write_log(log_level::error, "settings",
              "Not reloaded: " + error.detail + ".");
}

const std::shared_ptr<intake_budget>&
process_intake(const listener_limits& limits)
{
    static const auto budget = std::make_shared<intake_budget>(
        intake_options{.bytes = limits.buffered_bytes,
                       .connections = limits.process_connections > 0
                                          ? limits.process_connections
                                          : usual_process_connections()});
    return budget;
}

http_server_options listener_options(const process_settings& settings,
                                     const endpoint& listen)
{
    const auto& limits = settings.limits;
    http_server_options options;
    options.listen = listen;
    options.body_bytes = limits.body_bytes;
    options.header_bytes = limits.header_bytes;
    options.connections = limits.connections;
    options.intake = process_intake(limits);
    options.idle_timeout = limits.idle_timeout;
    options.read_timeout = limits.read_timeout;
    options.on_refused =
        [port = listen.port](http_status status, std::string_view detail)
    {
        write_event(log_level::warning, "listener", {}, "message_refused",
                    {{"port", std::int64_t{port}},
                     {"status", static_cast<std::int64_t>(status)},
                     {"detail", detail}});
    };
    options.on_unsent =
        [port = listen.port](std::string_view path, duration age)
    {
        write_event(log_level::info, "listener", {}, "response_not_sent",
                    {{"port", std::int64_t{port}},
                     {"path", path},
                     {"age_ms", milliseconds_of(age)}});
    };
    options.on_unserved =
        [port = listen.port](std::size_t bytes, bool after_response)
    {
        write_event(log_level::info, "listener", {}, "input_not_served",
                    {{"port", std::int64_t{port}},
                     {"bytes", static_cast<std::int64_t>(bytes)},
                     {"after_response", after_response ? "yes" : "no"}});
    };
    return options;
}

http_server_options operator_listener_options(const process_settings& settings)
{
    auto options = listener_options(settings, settings.operators);
    options.bearer = settings.operator_token;
    return options;
}

process_result<void> require_listening(
    std::initializer_list<const connection_result<http_server>*> listeners)
{
    for (const auto* it : listeners)
    {
        if (!*it)
            return fail(process_errc::bad_listen, it->error().detail);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void wait_until(const std::function<bool()>& idle)
{
    while (!idle())
        std::this_thread::sleep_for(idle_poll);
}

} // namespace lagoonquay
