#include "lagoonquay/load/job_runner.hpp"

#include <gtest/gtest.h>
#include <map>

namespace lagoonquay::load
{

namespace
{

using std::chrono::milliseconds;

//! Runs delayed work in order of virtual time.
class fake_time
{
public:
    instant now() const
    {
        return now_;
    }

    void after(duration delay, std::function<void()> work)
    {
        queue_.emplace(now_ + delay, std::move(work));
    }

    void run()
    {
        while (!queue_.empty())
        {
            const auto first = queue_.begin();
            now_ = first->first;
            const auto work = std::move(first->second);
            queue_.erase(first);
            work();
        }
    }

private:
    instant now_{};
    std::multimap<instant, std::function<void()>> queue_;
};

//! Answers each submission after a delay.
class fake_fleet
{
public:
    fake_fleet(fake_time& time, duration delay) : time_(time), delay_(delay)
    {
    }

    runner_hooks hooks()
    {
        return {.now = [this] { return time_.now(); },
                .wall = [] { return wall_time(); },
                .after = [this](duration delay, std::function<void()> work)
                { time_.after(delay, std::move(work)); },
                .submit = [this](std::size_t entry, const job& work,
                                 const reply_hook& done)
                { submit(entry, work, done); },
                .cancel =
                    [this](std::size_t entry, const submission_id& id)
                {
                    cancelled.push_back({entry, id.text()});
                }};
    }

    std::vector<std::pair<std::size_t, job>> submitted;
    std::vector<std::pair<std::size_t, std::string>> cancelled;
    std::function<std::optional<job_answer>(const job&)> answer;

private:
    void submit(std::size_t entry, const job& work, const reply_hook& done)
    {
        submitted.emplace_back(entry, work);
        time_.after(delay_, [this, work, done] { done(answer(work)); });
    }

    fake_time& time_;
    const duration delay_;
};

job_answer success(const job& work)
{
    return job_answer({.submission = work->submission,
                       .ran = effect::ran,
                       .results = {task_result(
                           {.ran = effect::ran,
                            .body = work->submission.text() + "/0 done"})}});
}

planned_job_options planned(const std::string& id, duration at)
{
    planned_job_options it;
    it.at = at;
    it.work = job({.submission = submission_id(id), .tasks = {task()}});
    return it;
}

TEST(job_runner, counts_responses_from_the_scheduled_arrival)
{
    fake_time time;
    fake_fleet fleet(time, milliseconds(40));
    fleet.answer = success;
    auto hooks = fleet.hooks();
    // A sender that wakes up late must not hide the delay.
    hooks.after = [&](duration delay, std::function<void()> work)
    {
        time.after(delay + milliseconds(25), std::move(work));
    };
    job_runner runner({planned_job(planned("r-0", milliseconds(10)))}, 1,
                      hooks);
    runner.start();
    time.run();
    runner.wait();
    EXPECT_EQ(runner.outcomes().front().response, milliseconds(65));
    EXPECT_EQ(runner.outcomes().front().judged, verdict::complete);
}

TEST(job_runner, sends_without_waiting_for_earlier_answers)
{
    fake_time time;
    fake_fleet fleet(time, std::chrono::seconds(9));
    fleet.answer = success;
    job_runner runner({planned_job(planned("r-0", milliseconds(1))),
                       planned_job(planned("r-1", milliseconds(2)))},
                      1, fleet.hooks());
    runner.start();
    time.run();
    EXPECT_EQ(time.now(), instant(std::chrono::seconds(9) + milliseconds(2)));
    EXPECT_EQ(runner.answered(), 2U);
}

TEST(job_runner, resubmits_the_same_job_through_the_next_entry)
{
    fake_time time;
    fake_fleet fleet(time, milliseconds(40));
    fleet.answer = success;
    auto it = planned("r-0", milliseconds(10));
    it.entry = 2;
    it.resubmit_after = milliseconds(5);
    job_runner runner({planned_job(it)}, 3, fleet.hooks());
    runner.start();
    time.run();
    ASSERT_EQ(fleet.submitted.size(), 2U);
    EXPECT_EQ(fleet.submitted[0].first, 2U);
    EXPECT_EQ(fleet.submitted[1].first, 0U);
    EXPECT_EQ(fleet.submitted[0].second, fleet.submitted[1].second);
    EXPECT_EQ(runner.outcomes().front().resubmission, verdict::complete);
    EXPECT_FALSE(runner.outcomes().front().contradictory);
}

TEST(job_runner, reports_contradicting_and_lost_answers)
{
    fake_time time;
    fake_fleet fleet(time, milliseconds(40));
    int n = 0;
    fleet.answer = [&](const job& work) -> std::optional<job_answer>
    {
        if (work->submission == submission_id("r-1"))
            return std::nullopt;
        if (n++ == 0)
            return success(work);
        return refusal(work->submission, failure_reason::overloaded,
                       effect::not_run, "full");
    };
    auto twice = planned("r-0", milliseconds(1));
    twice.resubmit_after = milliseconds(5);
    job_runner runner(
        {planned_job(twice), planned_job(planned("r-1", milliseconds(2)))}, 1,
        fleet.hooks());
    runner.start();
    time.run();
    const auto outcomes = runner.outcomes();
    EXPECT_TRUE(outcomes[0].contradictory);
    EXPECT_TRUE(outcomes[0].claims_not_run);
    EXPECT_EQ(outcomes[1].judged, verdict::lost);
}

TEST(job_runner, cancels_at_the_entry_that_got_the_job)
{
    fake_time time;
    fake_fleet fleet(time, milliseconds(40));
    fleet.answer = success;
    auto it = planned("r-0", milliseconds(1));
    it.entry = 1;
    it.cancel_after = milliseconds(3);
    job_runner runner({planned_job(it)}, 2, fleet.hooks());
    runner.start();
    time.run();
    ASSERT_EQ(fleet.cancelled.size(), 1U);
    EXPECT_EQ(fleet.cancelled.front(),
              (std::pair<std::size_t, std::string>{1, "r-0"}));
}

} // namespace

} // namespace lagoonquay::load
