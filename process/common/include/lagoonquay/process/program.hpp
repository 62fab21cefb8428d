//! What the main functions of the programs share.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/request/ids.hpp"

#include <functional>
#include <initializer_list>
#include <optional>
#include <string>

namespace lagoonquay
{

//! The command line of a program that takes a settings file.
struct program_arguments
{
    std::string config;
    bool check_only = false;
};

//! Reads the command line; prints help, version or the usage error.
//! @return the arguments, or the exit code to leave with.
struct parsed_arguments
{
    std::optional<program_arguments> arguments;
    exit_code code = exit_code::ok;
};
parsed_arguments parse_arguments(int argc, const char* const* argv,
                                 const std::string& name,
                                 const std::string& summary);

//! Prints the name and version of a program.
void print_version(const std::string& name);

//! Prints an error for a person. @return its exit code.
exit_code report(const layer_error<process_errc>& error);

//! @return a number for this run of the process, drawn at random.
incarnation draw_incarnation();

//! Calls `changed` whenever a file has changed.
void watch_settings(io_threads& io, const std::string& path,
                    std::function<void()> changed);

//! Logs that changed settings were refused.
void log_bad_reload(const layer_error<process_errc>& error);

//! One program: how it reads its settings, and what it does with them.
template <typename Settings>
struct program_definition
{
    std::string name;
    std::string summary;
    std::function<process_result<Settings>(const std::string& path)> load;
    std::function<process_result<void>(const Settings&)> run;
};

//! Calls `use` with the settings whenever their file has changed, which is
//! looked at on SIGHUP and every few seconds. Settings that can't be read are
//! logged and leave the last ones in force.
template <typename Settings>
void follow_settings(
    io_threads& io, const std::string& path,
    std::function<process_result<Settings>(const std::string&)> load,
    std::function<void(const Settings&)> use)
{
    watch_settings(io, path,
                   [path, load = std::move(load), use = std::move(use)]
                   {
                       const auto settings = load(path);
                       if (!settings)
                           return log_bad_reload(settings.error());
                       use(settings.value());
                   });
}

//! Runs a program that has started until it is told to stop, and stops it.
//! @param use   see follow_settings().
//! @param stop  ends what is in progress; may block.
template <typename Settings>
void serve_until_stopped(
    io_threads& io, const std::string& path,
    std::function<process_result<Settings>(const std::string&)> load,
    std::function<void(const Settings&)> use, const std::function<void()>& stop)
{
    follow_settings(io, path, std::move(load), std::move(use));
    io.wait_for_stop_signal();
    stop();
    io.stop();
}

//! Runs a program from its command line to its end. With --check, only the
//! settings are read. @return the code to leave with.
template <typename Settings>
int run_program(int argc, const char* const* argv,
                const program_definition<Settings>& it)
{
    const auto parsed = parse_arguments(argc, argv, it.name, it.summary);
    if (!parsed.arguments)
        return static_cast<int>(parsed.code);
    const auto settings = it.load(parsed.arguments->config);
    if (!settings)
        return static_cast<int>(report(settings.error()));
    if (parsed.arguments->check_only)
        return static_cast<int>(exit_code::ok);
    open_log(settings.value().process.log);
    const auto ended = it.run(settings.value());
    close_log();
    return ended ? static_cast<int>(exit_code::ok)
                 : static_cast<int>(report(ended.error()));
}

//! @param limits  count in the first call only, that of the first listener.
//! @return the budget of all listeners of this process.
const std::shared_ptr<intake_budget>&
process_intake(const listener_limits& limits = {});

//! @return the options of one listener of a process.
http_server_options listener_options(const process_settings& settings,
                                     const endpoint& listen);

//! @return the options of a process's listener for operators.
http_server_options operator_listener_options(const process_settings& settings);

//! @return success, or bad_listen with what kept a listener from opening.
process_result<void> require_listening(
    std::initializer_list<const connection_result<http_server>*> listeners);

//! Blocks until `idle` returns true, looking every 20 ms.
void wait_until(const std::function<bool()>& idle);

} // namespace lagoonquay
