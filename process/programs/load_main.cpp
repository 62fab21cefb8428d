//! lagoonquay-load: sends jobs to a fleet, measures and compares.
#include "lagoonquay/load/fleet_layout.hpp"
#include "lagoonquay/load/run_experiment.hpp"
#include "lagoonquay/load/slopes.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/process/program.hpp"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lagoonquay::load
{

namespace
{

constexpr const char* usage =
    "run EXPERIMENT.ini | fleet EXPERIMENT.ini | compare A.json B.json | "
    "summary RESULT.json... | slopes [RESULT.json...]";

//! The command line.
struct load_arguments
{
    std::string verb;
    std::vector<std::string> files;
    std::string folder;
    std::string run;
    std::string json;
    std::string html;
    bool quiet = false;
};

cxxopts::Options make_options()
{
    cxxopts::Options options("lagoonquay-load",
                             "Sends jobs to a fleet and measures it.");
    const auto text = []
    {
        return cxxopts::value<std::string>();
    };
    auto add = options.add_options();
    add("verb", "what to do", text()->default_value(""));
    add("files", "what to do it with",
        cxxopts::value<std::vector<std::string>>()->default_value({}));
    add("folder", "the fleet's folder", text()->default_value("."));
    add("run", "prefix of the submission ids", text()->default_value("run"));
    add("json", "file for the result", text()->default_value(""));
    add("html", "file for the report page", text()->default_value(""));
    add("quiet", "no progress lines");
    add("help", "print this help and exit");
    options.parse_positional({"verb", "files"});
    options.positional_help(usage);
    return options;
}

load_arguments to_arguments(const cxxopts::ParseResult& parsed)
{
    load_arguments it;
    it.verb = parsed["verb"].as<std::string>();
    if (parsed.count("files") > 0)
        it.files = parsed["files"].as<std::vector<std::string>>();
    it.folder = parsed["folder"].as<std::string>();
    it.run = parsed["run"].as<std::string>();
    it.json = parsed["json"].as<std::string>();
    it.html = parsed["html"].as<std::string>();
    it.quiet = parsed.count("quiet") > 0;
    return it;
}

process_result<void> write_file(const std::string& path,
                                const std::string& text)
{
    if (path.empty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    std::ofstream out(path);
    out << text;
    out.flush();
    if (!out)
        return fail(process_errc::storage, path + ": cannot be written");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<run_result> read_result(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    auto result = decode_result(text.str());
    if (!result)
        return fail(process_errc::bad_settings,
                    path + ": " + result.error().detail);
    return result;
}

process_result<std::vector<run_result>>
read_results(const std::vector<std::string>& paths)
{
    std::vector<run_result> found;
    for (const auto& it : paths)
    {
        BOOST_OUTCOME_TRY(auto result, read_result(it));
        found.push_back(std::move(result));
    }
    return found;
}

process_result<void> run(const load_arguments& arguments)
{
    BOOST_OUTCOME_TRY(const auto it, load_experiment(arguments.files.front()));
    BOOST_OUTCOME_TRY(const auto result,
                      run_experiment(it, {.folder = arguments.folder,
                                          .run = arguments.run,
                                          .progress = !arguments.quiet}));
    std::cout << to_table(result);
    BOOST_OUTCOME_TRY(write_file(arguments.json, encode_result(result)));
    return write_file(arguments.html, to_html(result));
}

process_result<void> write_fleet(const load_arguments& arguments)
{
    BOOST_OUTCOME_TRY(const auto it, load_experiment(arguments.files.front()));
    const fleet_layout layout(it->fleet);
    for (const auto& file : make_fleet_files(layout, arguments.folder))
    {
        BOOST_OUTCOME_TRY(
            write_file(arguments.folder + "/" + file.name, file.text));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<void> show_comparison(const load_arguments& arguments)
{
    BOOST_OUTCOME_TRY(const auto results, read_results(arguments.files));
    std::cout << compare(results.front(), results.back());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<void> show_summary(const load_arguments& arguments)
{
    BOOST_OUTCOME_TRY(const auto results, read_results(arguments.files));
    std::cout << summarize(results);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

process_result<void> show_slopes(const load_arguments& arguments)
{
    BOOST_OUTCOME_TRY(const auto results, read_results(arguments.files));
    const auto slopes = results.empty() ? measure_slopes() : fit_runs(results);
    std::cout << to_table(slopes);
    return write_file(arguments.json, encode_slopes(slopes));
}

//! One thing that the program does.
struct verb
{
    const char* name;
    std::size_t least_files;
    std::size_t most_files;
    process_result<void> (*act)(const load_arguments&);
};

constexpr std::size_t any_files = 1000;
constexpr verb verbs[] = {
    {"run", 1, 1, run},
    {"fleet", 1, 1, write_fleet},
    {"compare", 2, 2, show_comparison},
    {"summary", 1, any_files, show_summary},
    {"slopes", 0, any_files, show_slopes},
};

exit_code act(const load_arguments& arguments)
{
    const auto n = arguments.files.size();
    for (const auto& it : verbs)
    {
        if (arguments.verb != it.name)
            continue;
        if (n < it.least_files || n > it.most_files)
            break;
        const auto ended = it.act(arguments);
        return ended ? exit_code::ok : report(ended.error());
    }
    std::cerr << "lagoonquay-load " << usage << "\n";
    return exit_code::usage;
}

} // namespace

} // namespace lagoonquay::load

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    auto options = load::make_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        open_log({.level = log_level::warning, .process = "load"});
        const auto ended = load::act(load::to_arguments(parsed));
        close_log();
        return static_cast<int>(ended);
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << "lagoonquay-load: " << e.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}
