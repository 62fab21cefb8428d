// Messages between entries and agents of different versions.
#include "lagoonquay/request/dispatch_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

grant_message full_grant()
{
    grant_message it;
    it.agent = agent_id("a");
    it.agent_run = incarnation(1);
    it.speed_milli = 550;
    it.waiting = {{.priority = 0,
                   .tasks = 3,
                   .work = milliseconds(90),
                   .age = milliseconds(12)},
                  {.priority = 2, .tasks = 1}};
    it.late_run_time = milliseconds(16175);
    return it;
}

dispatch_message full_dispatch()
{
    dispatch_message it;
    it.submission = submission_id("s");
    it.key = {task_index(0), attempt_number(1), agent_id("a"), incarnation(1)};
    it.priority = 2;
    it.start_by = instant(milliseconds(70));
    it.expected_run = milliseconds(60);
    return it;
}

} // namespace

TEST(dispatch_codec, what_priorities_and_speeds_need_is_read_back)
{
    const std::vector<link_message> sent{full_grant(), full_dispatch()};
    const auto read = decode_frame(encode_frame(sent));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), sent);
}

// Guards against a fleet of two versions that breaks its links: what an earlier
// version does not know is absent where it says nothing, and may be absent.
TEST(dispatch_codec, unset_fields_are_left_out_and_may_be_absent)
{
    auto grant = full_grant();
    grant.speed_milli = 0;
    grant.waiting.clear();
    grant.late_run_time = {};
    auto dispatch = full_dispatch();
    dispatch.priority = 0;
    dispatch.start_by = {};
    dispatch.expected_run = {};
    const std::vector<link_message> sent{grant, dispatch};
    const auto text = encode_frame(sent);
    for (const auto* added : {"speed_milli", "waiting", "late_run_time",
                              "priority", "start_by", "expected_run"})
        EXPECT_EQ(text.find(added), std::string::npos) << added;
    const auto read = decode_frame(text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), sent);
}

TEST(dispatch_codec, more_priorities_than_a_grant_tells_of_are_refused)
{
    auto grant = full_grant();
    grant.waiting.resize(max_waiting_priorities + 1);
    EXPECT_FALSE(decode_frame(encode_frame({grant})));
}

} // namespace lagoonquay
