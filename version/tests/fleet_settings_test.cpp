#include "lagoonquay/version/fleet_settings.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace lagoonquay
{

namespace
{

//! Settings that must be refused, and the place that the error must name.
struct refused_case
{
    std::string text;
    std::string place;
};

TEST(fleet_settings, empty_text_gives_the_defaults)
{
    const auto read = parse_fleet_settings("");
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value(), fleet_settings());
}

TEST(fleet_settings, an_exception_overrides_only_what_it_names)
{
    const auto read =
        parse_fleet_settings("[customers]\nweight = 5\nqueued_tasks = 400\n"
                             "[customer:order-desk]\nweight = 60\n"
                             "reason = larger than all the others together\n");
    ASSERT_TRUE(read.has_value()) << read.error().detail;
    const auto& limits = limits_of(read.value(), customer_id("order-desk"));
    EXPECT_EQ(limits, (customer_limits{60, 400}));
    EXPECT_EQ(limits_of(read.value(), customer_id("kiosk")),
              (customer_limits{5, 400}));
}

TEST(fleet_settings, an_error_names_section_and_key)
{
    const std::vector<refused_case> cases{
        {"[customer:a]\nweight = 2\n", "[customer:a] reason"},
        {"[customer:a]\nweight = 2\nreason = none\n", "[customer:a] reason"},
        {"[customer:a]\nreason = long enough, but no change\n",
         "[customer:a] weight"},
        {"[customers]\nweight = 0\n", "[customers] weight"},
        {"[customers]\nwieght = 3\n", "[customers] wieght"},
        {"[costumers]\nweight = 3\n", "[costumers] weight"},
        {"[slow_start]\nramp = 5\n", "[slow_start] ramp"},
        {"[slow_start]\nramp = 2h\n", "[slow_start] ramp"},
        {"[routing]\npolicy = best\n", "[routing] policy"},
        {"[quarantine]\nfirst_pause = 2min\n", "[quarantine] longest_pause"},
    };
    for (const auto& it : cases)
    {
        const auto read = parse_fleet_settings(it.text);
        ASSERT_FALSE(read.has_value()) << it.text;
        EXPECT_EQ(read.error().code, version_errc::bad_setting);
        EXPECT_NE(read.error().detail.find(it.place), std::string::npos)
            << read.error().detail;
    }
}

} // namespace

} // namespace lagoonquay
