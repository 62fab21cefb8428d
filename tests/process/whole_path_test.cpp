#include "fleet.hpp"

#include <csignal>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr auto run_time = std::chrono::milliseconds(50);

bool complete(const std::optional<http_response>& answer)
{
    return answer && answer->status == http_status::ok &&
           answer->body.find("\"status\":\"complete\"") != std::string::npos;
}

TEST(whole_path, a_job_is_answered_whole_and_started_once)
{
    fleet it;
    it.start();
    const auto submitted = make_job("s1", 40, run_time);
    EXPECT_TRUE(complete(it.submit(0, submitted).get()));
    EXPECT_TRUE(complete(it.submit(1, submitted).get()));
    EXPECT_EQ(it.starts_of("s1"), 40U);
    EXPECT_EQ(it.most_starts(), 1U);
}

TEST(whole_path, resubmissions_at_once_join_one_run)
{
    fleet it;
    it.start();
    const auto submitted = make_job("s1", 20, run_time);
    auto first = it.submit(0, submitted);
    auto second = it.submit(1, submitted);
    auto third = it.submit(2, submitted);
    const bool any =
        complete(first.get()) + complete(second.get()) + complete(third.get()) >
        0;
    EXPECT_TRUE(any);
    EXPECT_LE(it.most_starts(), 1U);
    EXPECT_EQ(it.starts_of("s1"), 20U);
}

TEST(whole_path, sigterm_delivers_every_answer_and_exits_with_0)
{
    fleet it;
    it.start();
    constexpr int jobs = 6;
    std::vector<std::future<std::optional<http_response>>> answers;
    answers.reserve(jobs);
    for (int n = 0; n < jobs; ++n)
        answers.push_back(
            it.submit(0, make_job("s" + std::to_string(n), 8, run_time)));
    EXPECT_TRUE(fleet::eventually([&] { return it.starts_of("s0") > 0; }));
    it.entry(0).process->signal(SIGTERM);
    std::size_t refused = 0;
    for (auto& answer : answers)
    {
        const auto got = answer.get();
        ASSERT_TRUE(got.has_value());
        refused += complete(got) ? 0 : 1;
    }
    EXPECT_LT(refused, answers.size());
    EXPECT_EQ(it.entry(0).process->wait(), 0);
}

} // namespace

} // namespace lagoonquay
