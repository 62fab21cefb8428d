#include "lagoonquay/process/process_settings.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const std::string common = "[process]\nid = e\ndomain = d\n"
                           "[operators]\nlisten = 127.0.0.1:1\n"
                           "[control]\nreplicas = 127.0.0.1:2\n";
const std::string listeners = "[callers]\nlisten = 127.0.0.1:3\n"
                              "[peers]\nlisten = 127.0.0.1:4\n";

//! A settings file that lasts as long as its object.
class settings_file
{
public:
    explicit settings_file(const std::string& text)
        : path_(testing::TempDir() + "settings-" +
                testing::UnitTest::GetInstance()->current_test_info()->name() +
                ".ini")
    {
        std::ofstream(path_) << text;
    }
    ~settings_file()
    {
        std::remove(path_.c_str());
    }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    const std::string& path() const noexcept
    {
        return path_;
    }

private:
    std::string path_;
};

process_result<entry_settings> load(const std::string& text)
{
    const settings_file file(text);
    return load_entry_settings(file.path());
}

TEST(process_settings, reads_defaults_and_values)
{
    const auto plain = load(common + listeners);
    ASSERT_TRUE(plain) << plain.error().detail;
    EXPECT_EQ(plain.value().process.limits, listener_limits{});
    EXPECT_EQ(plain.value().jobs, job_limits{});
    EXPECT_EQ(plain.value().drain_job_end, duration::zero());
    EXPECT_EQ(plain.value().drain_end, duration::zero());
    const auto set =
        load(common + listeners +
             "[limits]\nidle_timeout = 2s\n[log]\nformat = json\n"
             "[ledger]\npeers = 127.0.0.2:4, 127.0.0.3:4\nclaim_lease = 3s\n"
             "[jobs]\ntasks = 230\n");
    ASSERT_TRUE(set) << set.error().detail;
    EXPECT_EQ(set.value().process.limits.idle_timeout, std::chrono::seconds(2));
    EXPECT_EQ(set.value().process.log.format, log_format::json_lines);
    EXPECT_EQ(set.value().ledger_peers.size(), 2U);
    EXPECT_EQ(set.value().claim_lease, std::chrono::seconds(3));
    EXPECT_EQ(set.value().jobs.tasks, 230U);
}

TEST(process_settings, reads_the_end_of_a_stop)
{
    const auto set = load(common + "[callers]\nlisten = 127.0.0.1:3\n"
                                   "drain_notice = 2500ms\n"
                                   "drain_job_end = 5s\ndrain_end = 5400ms\n"
                                   "[peers]\nlisten = 127.0.0.1:4\n");
    ASSERT_TRUE(set) << set.error().detail;
    EXPECT_EQ(set.value().drain_end, std::chrono::milliseconds(5400));
}

// Guards against callers that are closed while jobs are still taken.
TEST(process_settings, refuses_an_end_of_a_stop_before_that_of_its_jobs)
{
    const std::string peers = "[peers]\nlisten = 127.0.0.1:4\n";
    for (const std::string it :
         {"drain_notice = 2s\ndrain_end = 1999ms\n",
          "drain_job_end = 2s\ndrain_end = 1999ms\n",
          "drain_notice = 1s\ndrain_job_end = 2s\ndrain_end = 1500ms\n"})
    {
        const auto read =
            load(common + "[callers]\nlisten = 127.0.0.1:3\n" + it + peers);
        ASSERT_FALSE(read) << it;
        EXPECT_EQ(read.error().code, process_errc::bad_settings);
        EXPECT_NE(read.error().detail.find("[callers] drain_end: is before"),
                  std::string::npos)
            << read.error().detail;
    }
    EXPECT_TRUE(load(common + "[callers]\nlisten = 127.0.0.1:3\n" +
                     "drain_job_end = 2s\ndrain_end = 2s\n" + peers));
    // 0s: without an end, so it is before nothing.
    EXPECT_TRUE(load(common + "[callers]\nlisten = 127.0.0.1:3\n" +
                     "drain_job_end = 2s\ndrain_end = 0s\n" + peers));
}

//! A file that must be refused, and what the error must name.
struct bad_settings
{
    std::string text;
    std::string place;
};

TEST(process_settings, names_the_place_of_each_error)
{
    const bad_settings all[] = {
        {"[process]\nid = e\n", "[process] domain: is missing"},
        {common + "[callers]\nlisten = 127.0.0.1:3\n",
         "[peers] listen: is missing"},
        {common + "[callers]\nlisten = 127.0.0.1:3\ndrain_end = 61s\n",
         "[callers] drain_end: 61s is not from"},
        {"[process]\nid = a b\ndomain = d\n", "[process] id: 'a b' is not"},
        {common + listeners + "[speed]\nmost = 1\n", "[speed] most: unknown"},
        {common + listeners + "[log]\ncolour = 1\n", "[log] colour: unknown"},
        {common + listeners + "[log]\nlevel = loud\n", "[log] level: 'loud'"},
        {common + listeners + "[log]\nformat = xml\n", "[log] format: 'xml'"},
        {common + listeners + "[limits]\nidle_timeout = 2\n",
         "[limits] idle_timeout: '2' is not a number with us, ms, s"},
        {common + listeners + "[limits]\nidle_timeout = 2 weeks\n",
         "[limits] idle_timeout: '2 weeks'"},
        {common + listeners + "[limits]\nconnections = 0\n",
         "[limits] connections: 0 is not from"},
        {common + listeners + "[limits]\nconnections = 1e3\n",
         "[limits] connections: '1e3' is not a whole number"},
        {common + listeners + "[limits]\nbody_bytes = -1\n",
         "[limits] body_bytes: '-1'"},
        {common + listeners + "[ledger]\nclaim_lease = 99h\n",
         "[ledger] claim_lease: 99h is not from"},
        {common + listeners +
             "[ledger]\nclaim_lease = 1s\nclaim_margin = 501ms\n",
         "[ledger] claim_margin: is more than half of claim_lease"},
        {common + listeners + "[ledger]\nclaim_margin = 1001ms\n",
         "[ledger] claim_margin: 1001ms is not from"},
        {common + listeners + "[ledger]\nclaim_retention = 1min\n",
         "[ledger] claim_retention: is shorter"},
        {common + listeners + "[ledger]\npeers = here\n",
         "[ledger] peers: 'here' is not address:port"},
        {common + listeners + "[ledger]\npeers = 127.0.0.1:1, host:2\n",
         "[ledger] peers: 'host' is not an IP number"},
        {common + listeners + "[ledger]\npeers = 127.0.0.1:65536\n",
         "[ledger] peers: '65536' is not a port"},
        {common + listeners + "[jobs]\ndefault_time_limit = 1h\n",
         "[jobs] default_time_limit: is longer"},
        {common + listeners + "[jobs]\ntasks = 1\ntasks = 2\n", "duplicate"},
        {common + listeners + "stray words\n", ":12: "},
    };
    for (const auto& it : all)
    {
        const auto read = load(it.text);
        ASSERT_FALSE(read) << it.place;
        EXPECT_EQ(read.error().code, process_errc::bad_settings);
        EXPECT_NE(read.error().detail.find(it.place), std::string::npos)
            << read.error().detail;
        EXPECT_NE(read.error().detail.find(".ini"), std::string::npos);
    }
}

TEST(process_settings, names_a_file_that_is_not_there)
{
    const auto read = load_agent_settings("/nowhere/agent.ini");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().detail, "/nowhere/agent.ini: cannot be read");
}

} // namespace

} // namespace lagoonquay
