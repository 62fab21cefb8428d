#include "lagoonquay/process/log.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

namespace lagoonquay
{

namespace
{

//! Catches what is written to the log's stream.
class caught_log
{
public:
    caught_log() : before_(std::clog.rdbuf(out_.rdbuf()))
    {
    }
    ~caught_log()
    {
        std::clog.rdbuf(before_);
    }
    caught_log(const caught_log&) = delete;
    caught_log& operator=(const caught_log&) = delete;

    std::string text() const
    {
        return out_.str();
    }

private:
    std::ostringstream out_;
    std::streambuf* before_;
};

// The log is set up once per process, so one test covers its options.
TEST(log, writes_json_lines_of_the_level_with_the_submission)
{
    const caught_log caught;
    open_log({.level = log_level::info,
              .format = log_format::json_lines,
              .process = "entry-1"});
    write_log(log_level::debug, "entry", "Not written.");
    write_log(log_level::warning, "entry", submission_id("s1"),
              "A \"quoted\"\nline.");
    const auto line = boost::json::parse(caught.text()).as_object();
    EXPECT_EQ(line.at("level"), "warning");
    EXPECT_EQ(line.at("process"), "entry-1");
    EXPECT_EQ(line.at("part"), "entry");
    EXPECT_EQ(line.at("submission"), "s1");
    EXPECT_EQ(line.at("text"), "A \"quoted\"\nline.");
    EXPECT_TRUE(line.at("time_ms").is_int64());
    EXPECT_EQ(caught.text().find('\n'), caught.text().size() - 1);
}

} // namespace

} // namespace lagoonquay
