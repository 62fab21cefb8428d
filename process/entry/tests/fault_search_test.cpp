// Every order of a few faults, for two runs of one task at once and two holders
// of one round. By hand:
// FAULT_SEARCH_DEPTH=3 FAULT_SEARCH_SHARD="0 2" FAULT_SEARCH_JOB=0
#include "fault_search.hpp"
#include "lagoonquay/process/log.hpp"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

namespace lagoonquay
{

namespace
{

std::vector<std::size_t> numbers_of(const char* variable,
                                    const std::vector<std::size_t>& usual)
{
    const char* const text = std::getenv(variable);
    if (text == nullptr)
        return usual;
    std::istringstream in(text);
    std::vector<std::size_t> found;
    for (std::size_t n = 0; in >> n;)
        found.push_back(n);
    return found;
}

std::size_t number_of(const char* variable, std::size_t usual)
{
    const auto found = numbers_of(variable, {usual});
    return found.empty() ? usual : found.front();
}

fault_search_options options_of_environment()
{
    fault_search_options options;
    options.depth = number_of("FAULT_SEARCH_DEPTH", options.depth);
    options.job_number = number_of("FAULT_SEARCH_JOB", options.job_number);
    options.actions = numbers_of("FAULT_SEARCH_ACTIONS", {});
    options.moments = numbers_of("FAULT_SEARCH_MOMENTS", {});
    options.longest =
        std::chrono::seconds(number_of("FAULT_SEARCH_SECONDS", 86400));
    const auto shard = numbers_of("FAULT_SEARCH_SHARD", {0, 1});
    if (shard.size() == 2 && shard[1] > 0)
    {
        options.shard = shard[0];
        options.shards = shard[1];
    }
    return options;
}

void print(const fault_search& search, std::size_t depth)
{
    for (const auto& it : search.found())
        std::cout << "  " << it.text() << "\n";
    const auto& counts = search.counts();
    std::cout << "depth " << depth << ": " << counts.plays << " plays, "
              << counts.without_change << " with a step that changes nothing, "
              << counts.equal << " equal to another, " << counts.with_findings
              << " with findings, " << counts.not_played << " not played, "
              << search.found().size() << " shortest paths\n";
}

} // namespace

TEST(fault_search, finds_no_path_to_two_runs_or_two_holders)
{
    open_log({.level = log_level::error});
    const auto options = options_of_environment();
    fault_search search(options);
    search.run();
    print(search, options.depth);
    EXPECT_GT(search.counts().plays, 0U);
    for (const auto& it : search.found())
        ADD_FAILURE() << it.text();
}

} // namespace lagoonquay
