#include "lagoonquay/process/program.hpp"

#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <thread>

namespace lagoonquay
{

namespace
{

constexpr const char* version_text = "0.1.0";
constexpr auto idle_poll = std::chrono::milliseconds(20);

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
            std::cout << name << " " << version_text << "\n";
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

void wait_until(const std::function<bool()>& idle)
{
    while (!idle())
        std::this_thread::sleep_for(idle_poll);
}

} // namespace lagoonquay
