#include "lagoonquay/request/dispatch_codec.hpp"
#include "lagoonquay/request/start_guard.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const instant now(std::chrono::seconds(100));
const task_key key{submission_id("s"), task_index(0)};

dispatch_message attempt(std::uint64_t n)
{
    dispatch_message it;
    it.submission = key.submission;
    it.key = {key.index, attempt_number(n), agent_id("a"), incarnation(3)};
    it.start_before = now + std::chrono::seconds(5);
    return it;
}

task_result body(const std::string& text)
{
    return task_result({.index = key.index, .ran = effect::ran, .body = text});
}

TEST(recovery_messages, survive_the_codec)
{
    const query_message query{key.submission,
                              incarnation(3),
                              {{key.index, attempt_number(1U << 20U)}}};
    const status_message status{
        key.submission,
        agent_id("a"),
        incarnation(3),
        {{key.index, attempt_number(5), attempt_number(6),
          start_state::finished, body("x")},
         {task_index(1),
          attempt_number(0),
          attempt_number(0),
          start_state::not_started,
          {}},
         {task_index(2),
          attempt_number(7),
          attempt_number(8),
          start_state::running,
          {}}}};
    const std::vector<link_message> sent{query, status};
    const auto received = decode_frame(encode_frame(sent));
    ASSERT_TRUE(received) << received.error().detail;
    EXPECT_EQ(received.value(), sent);
}

// Sent once for each task, so its size counts.
TEST(recovery_messages, an_accepted_start_is_told_in_few_bytes)
{
    const status_message status{key.submission,
                                agent_id("a"),
                                incarnation(3),
                                {},
                                {{{key.index, attempt_number(1U << 16U)}}}};
    const auto frame = encode_frame({status});
    constexpr std::size_t max_bytes = 128; // with ids of one character
    EXPECT_LE(frame.size(), max_bytes) << frame;
    const auto received = decode_frame(frame);
    ASSERT_TRUE(received) << received.error().detail;
    EXPECT_EQ(received.value(), std::vector<link_message>{status});
}

// An agent of an earlier version says nothing of starts.
TEST(recovery_messages, a_status_without_word_of_starts_differs_from_none_begun)
{
    status_message status{key.submission, agent_id("a"), incarnation(3), {}};
    for (const bool tells : {false, true})
    {
        if (tells)
        {
            status.begun.emplace();
            status.late_run_time = std::chrono::milliseconds(16175);
        }
        const auto received = decode_frame(encode_frame({status}));
        ASSERT_TRUE(received) << received.error().detail;
        EXPECT_EQ(received.value(), std::vector<link_message>{status});
    }
}

TEST(recovery_messages, a_finished_state_without_its_result_is_malformed)
{
    const auto received = decode_frame(
        R"([{"type":"status","submission":"s","agent":"a","agent_run":"3",)"
        R"("items":[{"index":0,"attempt":1,"forbidden":1,"state":"finished"}]}])");
    ASSERT_FALSE(received);
    EXPECT_EQ(received.error().code, request_errc::malformed);
}

TEST(start_guard_query, forbids_what_has_not_started)
{
    start_guard guard({.agent_run = incarnation(3)});
    const auto found = guard.query(key, attempt_number(4), now);
    EXPECT_EQ(found.state, start_state::not_started);
    EXPECT_EQ(found.attempt, attempt_number(4));
    EXPECT_EQ(guard.try_start(attempt(4), now), start_verdict::fenced);
    EXPECT_EQ(guard.try_start(attempt(5), now), start_verdict::start);
}

TEST(start_guard_query, tells_of_running_and_finished_tasks)
{
    start_guard guard({.agent_run = incarnation(3)});
    guard.try_start(attempt(1), now);
    EXPECT_EQ(guard.query(key, attempt_number(9), now).state,
              start_state::running);
    EXPECT_TRUE(guard.finish(key, attempt_number(1), body("x"), now));
    const auto found = guard.query(key, attempt_number(9), now);
    EXPECT_EQ(found.state, start_state::finished);
    EXPECT_EQ(found.attempt, attempt_number(1));
    EXPECT_EQ(found.result, body("x"));
}

TEST(start_guard_query, a_late_result_of_an_earlier_run_is_not_kept)
{
    start_guard guard({.agent_run = incarnation(3)});
    guard.try_start(attempt(1), now);
    auto again = attempt(2);
    again.repeatable = true;
    EXPECT_EQ(guard.try_start(again, now), start_verdict::duplicate);
    EXPECT_TRUE(guard.finish(key, attempt_number(1), body("old"), now));
    EXPECT_EQ(guard.try_start(again, now), start_verdict::start);
    EXPECT_FALSE(guard.finish(key, attempt_number(1), body("old"), now));
    EXPECT_EQ(guard.query(key, attempt_number(2), now).state,
              start_state::running);
}

TEST(start_guard_query, a_tombstone_stops_a_repeatable_task_too)
{
    start_guard guard({.agent_run = incarnation(3)});
    guard.try_start(attempt(1), now);
    guard.query(key, attempt_number(4), now);
    auto again = attempt(3);
    again.repeatable = true;
    EXPECT_EQ(guard.try_start(again, now), start_verdict::fenced);
}

} // namespace

} // namespace lagoonquay
