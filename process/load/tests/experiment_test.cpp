#include "lagoonquay/load/experiment.hpp"

#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

std::string error_of(std::string_view text)
{
    const auto parsed = parse_experiment(text, "e.ini");
    return parsed ? "" : parsed.error().detail;
}

TEST(experiment, takes_defaults_for_all_but_the_name)
{
    const auto parsed = parse_experiment("[experiment]\nname = n\n", "e.ini");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value(), experiment({.name = "n"}));
}

TEST(experiment, names_file_section_and_key_of_an_error)
{
    EXPECT_EQ(error_of("[experiment]\nseed = 1\n"),
              "e.ini: [experiment] name: is missing");
    EXPECT_EQ(error_of("[experiment]\nname = n\n[fleet]\nworker = 1\n"),
              "e.ini: [fleet] worker: unknown section or key");
    EXPECT_EQ(error_of("[experiment]\nname = n\n[trouble]\nfailing = 1001\n"),
              "e.ini: [trouble] failing: 1001 is not from 0 to 1000");
}

TEST(experiment, rejects_a_domain_that_returns_before_it_leaves)
{
    EXPECT_EQ(error_of("[experiment]\nname = n\n[domain_change]\n"
                       "domain = d\nout_at = 5s\nin_at = 4s\n"),
              "e.ini: [domain_change] in_at: is not after out_at");
}

TEST(experiment, rejects_a_tail_shorter_than_the_usual_tasks)
{
    EXPECT_EQ(error_of("[experiment]\nname = n\n[arrivals]\n"
                       "task_most = 2s\ntail_most = 1s\n"),
              "e.ini: [arrivals] tail_most: is less than task_most");
}

} // namespace

} // namespace lagoonquay::load
