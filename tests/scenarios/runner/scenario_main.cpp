//! Runs every scenario against its golden file, then seeded schedules.
#include "lagoonquay/process/log.hpp"
#include "scenario.hpp"
#include "schedule.hpp"

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace lagoonquay
{

namespace
{

namespace fs = std::filesystem;

struct run_options
{
    bool rewrite = false;
    std::string only_case; //!< empty for all
    std::uint64_t seeds = 0;
    std::uint64_t only_seed = 0;
};

std::string read_file(const fs::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void print_failures(const std::string& name,
                    const std::vector<std::string>& failures)
{
    std::cout << name << " failed\n";
    for (const auto& it : failures)
        std::cout << "  " << it << "\n";
}

bool run_case(const fs::path& path, bool rewrite)
{
    const auto report = run_scenario(parse_scenario(read_file(path)));
    auto golden = path;
    golden.replace_extension(".golden");
    if (rewrite && report.failures.empty())
        std::ofstream(golden) << report.transcript;
    auto failures = report.failures;
    if (read_file(golden) != report.transcript)
        failures.push_back("the transcript differs from " +
                           golden.filename().string() + "; it is:\n" +
                           report.transcript);
    if (failures.empty())
        return true;
    print_failures(path.filename().string(), failures);
    return false;
}

bool run_cases(const run_options& options)
{
    std::vector<fs::path> paths;
    for (const auto& it : fs::directory_iterator(LAGOONQUAY_SCENARIOS))
    {
        if (it.path().extension() != ".scenario")
            continue;
        const auto& only = options.only_case;
        if (only.empty() || it.path().stem() == only)
            paths.push_back(it.path());
    }
    std::sort(paths.begin(), paths.end());
    std::size_t failed = 0;
    for (const auto& it : paths)
        failed += run_case(it, options.rewrite) ? 0 : 1;
    std::cout << "scenarios: " << paths.size() - failed << " passed, " << failed
              << " failed\n";
    return failed == 0 && !paths.empty();
}

bool breaks(const std::vector<scenario_line>& lines)
{
    return !run_scenario(lines).failures.empty();
}

void report_seed(std::uint64_t seed)
{
    const auto lines = draw_schedule(seed);
    const auto failures = run_scenario(lines).failures;
    print_failures("seed " + std::to_string(seed), failures);
    std::cout << "shortest schedule:\n" << to_text(shorten(lines, breaks));
}

bool run_schedules(std::uint64_t seeds)
{
    std::atomic<std::uint64_t> next{1};
    std::mutex mutex;
    std::vector<std::uint64_t> failed;
    const auto work = [&]
    {
        for (auto seed = next++; seed <= seeds; seed = next++)
        {
            if (!breaks(draw_schedule(seed)))
                continue;
            const std::lock_guard lock(mutex);
            failed.push_back(seed);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < std::max(2U, std::thread::hardware_concurrency());
         ++n)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
    std::sort(failed.begin(), failed.end());
    std::cout << "schedules: " << seeds - failed.size() << " passed, "
              << failed.size() << " failed\n";
    if (!failed.empty())
        report_seed(failed.front());
    return failed.empty();
}

int run_one_seed(std::uint64_t seed)
{
    const auto lines = draw_schedule(seed);
    const auto report = run_scenario(lines);
    std::cout << to_text(lines) << "--\n" << report.transcript;
    for (const auto& it : report.failures)
        std::cout << it << "\n";
    return report.failures.empty() ? 0 : 1;
}

run_options read_options(int argc, char** argv)
{
    cxxopts::Options parser("scenario_tests", "Runs scenarios and schedules.");
    auto add = parser.add_options();
    add("rewrite-goldens", "write the golden files anew");
    add("case", "run one scenario file", cxxopts::value<std::string>());
    add("seeds", "run this many schedules and no scenario files",
        cxxopts::value<std::uint64_t>());
    add("seed", "run one schedule and print its transcript",
        cxxopts::value<std::uint64_t>());
    const auto parsed = parser.parse(argc, argv);
    run_options options;
    options.rewrite = parsed.count("rewrite-goldens") > 0;
    if (parsed.count("case") > 0)
        options.only_case = parsed["case"].as<std::string>();
    if (parsed.count("seeds") > 0)
        options.seeds = parsed["seeds"].as<std::uint64_t>();
    if (parsed.count("seed") > 0)
        options.only_seed = parsed["seed"].as<std::uint64_t>();
    return options;
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    open_log({.level = log_level::error});
    const auto options = read_options(argc, argv);
    if (options.only_seed != 0)
        return run_one_seed(options.only_seed);
    const bool passed =
        options.seeds != 0 ? run_schedules(options.seeds) : run_cases(options);
    return passed ? 0 : 1;
}
