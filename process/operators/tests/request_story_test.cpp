#include "lagoonquay/process/request_story.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace lagoonquay
{

namespace
{

const std::string entry_log =
    R"({"time_ms":1000,"process":"e1","part":"main","text":"Too early."}
{"time_ms":3200,"process":"e1","part":"permit","event":"control_lost"}
{"time_ms":4000,"process":"e1","part":"entry","submission":"s1","event":"accepted","tasks":2}
{"time_ms":4001,"process":"e1","part":"entry","submission":"s2","event":"accepted"}
no line of JSON {
{"time_ms":4100,"process":"e1","part":"entry","submission":"s1","event":"answered","reason":"deadline"}
{"time_ms":4200,"process":"e1","part":"main","text":"Too late."}
)";

const std::string agent_log =
    R"(  12.5 a1 {"time_ms":4050,"process":"a1","part":"agent","submission":"s1","event":"started","task":0}
{"time_ms":4060,"process":"a2","part":"main","text":"Served others."}
)";

std::vector<story_line> story_of(const std::string& id)
{
    request_story story{submission_id(id)};
    std::istringstream entry(entry_log);
    std::istringstream agent(agent_log);
    story.read(entry);
    story.read(agent);
    return story.tell();
}

TEST(request_story, orders_a_request_over_its_processes)
{
    const std::vector<story_line> expected{
        {3200, "e1", "permit", "control_lost", true},
        {4000, "e1", "entry", "accepted tasks=2", false},
        {4050, "a1", "agent", "started task=0", false},
        {4100, "e1", "entry", "answered reason=\"deadline\"", false}};
    EXPECT_EQ(story_of("s1"), expected);
}

TEST(request_story, is_empty_for_a_request_that_no_line_names)
{
    EXPECT_TRUE(story_of("s9").empty());
}

TEST(request_story, is_told_from_its_first_line_on)
{
    const auto text = story_text(story_of("s1"));
    EXPECT_TRUE(text.starts_with("-800 ms  e1  (permit) control_lost\n"
                                 "+0 ms  e1  entry accepted tasks=2\n"))
        << text;
}

} // namespace

} // namespace lagoonquay
