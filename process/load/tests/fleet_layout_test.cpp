#include "lagoonquay/load/fleet_layout.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

fleet_layout small()
{
    fleet_shape it;
    it.entries = 2;
    it.controls = 3;
    it.workers = 4;
    it.domains = 3;
    return fleet_layout(it);
}

TEST(fleet_layout, spreads_workers_over_the_failure_domains)
{
    EXPECT_EQ(small().domain_of(0), "domain-1");
    EXPECT_EQ(small().domain_of(3), "domain-1");
    EXPECT_EQ(small().slots_without("domain-1"), 16U);
    EXPECT_EQ(small().slots_without(""), 32U);
}

TEST(fleet_layout, gives_each_process_a_settings_file_and_a_line)
{
    const auto files = make_fleet_files(small(), "/f");
    ASSERT_EQ(files.size(), 3U + 4U + 2U + 1U);
    const auto& lines = files.back();
    EXPECT_EQ(lines.name, "processes");
    EXPECT_EQ(std::count(lines.text.begin(), lines.text.end(), '\n'),
              3 + 4 + 4 + 2);
    EXPECT_NE(
        lines.text.find("entry-1 lagoonquay-entry --config /f/entry-1.ini\n"),
        std::string::npos);
}

TEST(fleet_layout, names_only_the_other_entries_as_ledger_peers)
{
    const auto files = make_fleet_files(small(), "/f");
    const auto entry =
        std::find_if(files.begin(), files.end(),
                     [](const auto& it) { return it.name == "entry-1.ini"; });
    ASSERT_NE(entry, files.end());
    EXPECT_NE(entry->text.find("peers = 127.50.1.20:7101\n"),
              std::string::npos);
}

TEST(fleet_layout, sets_only_the_fleet_settings_that_are_asked_for)
{
    fleet_shape it;
    EXPECT_EQ(make_fleet_settings(it), "");
    it.routing = "random";
    EXPECT_EQ(make_fleet_settings(it), "[routing]\npolicy = random\n");
    it.weight = 100;
    EXPECT_NE(make_fleet_settings(it).find("[customer:large]\n"
                                           "weight = 100\nreason = "),
              std::string::npos);
}

} // namespace

} // namespace lagoonquay::load
