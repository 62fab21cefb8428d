#include "lagoonquay/load/run_figures.hpp"

#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

double value_of(const run_result& result, const std::string& name)
{
    for (const auto& it : result->figures)
    {
        if (it.name == name)
            return it.value;
    }
    ADD_FAILURE() << "no figure " << name;
    return -1;
}

job_outcome outcome(const std::string& id, duration response)
{
    planned_job_options it;
    it.work = job({.submission = submission_id(id), .tasks = {task()}});
    it.longest_task = milliseconds(99);
    it.total_work = milliseconds(99);
    job_outcome found;
    found.planned = planned_job(it);
    found.response = response;
    found.judged = verdict::complete;
    return found;
}

experiment with_change()
{
    experiment_options it;
    it.name = "change";
    it.fleet.workers = 4;
    it.fleet.domains = 2;
    it.fleet.slots = 2;
    it.change = {"domain-1", seconds(1), seconds(9)};
    return experiment(it);
}

TEST(run_figures, sets_the_response_against_the_ideal)
{
    run_observations seen;
    seen.outcomes = {outcome("r-0", milliseconds(150)),
                     outcome("r-1", milliseconds(300))};
    const auto result = make_result(experiment({.name = "n"}), seen);
    EXPECT_DOUBLE_EQ(value_of(result, "response_over_ideal_p50"), 1.5);
    EXPECT_DOUBLE_EQ(value_of(result, "response_over_ideal_worst"), 3);
    EXPECT_DOUBLE_EQ(value_of(result, "complete"), 2);
}

TEST(run_figures, counts_dispatches_without_a_start_as_waste)
{
    run_observations seen;
    seen.before = {100, 0, 0};
    seen.after = {112, 0, 1};
    seen.starts.starts = 10;
    const auto result = make_result(experiment({.name = "n"}), seen);
    EXPECT_DOUBLE_EQ(value_of(result, "wasted_messages"), 5);
    EXPECT_DOUBLE_EQ(value_of(result, "wasted_per_task"), 0.5);
}

TEST(run_figures, counts_a_false_refusal)
{
    run_observations seen;
    seen.outcomes = {outcome("r-0", milliseconds(1)),
                     outcome("r-1", milliseconds(1))};
    for (auto& it : seen.outcomes)
        it.claims_not_run = true;
    seen.starts.started_jobs = {"r-1"};
    const auto result = make_result(experiment({.name = "n"}), seen);
    EXPECT_DOUBLE_EQ(value_of(result, "false_not_run"), 1);
}

TEST(run_figures, notes_only_outcomes_that_were_not_planned)
{
    run_observations seen;
    seen.outcomes = {outcome("r-0", milliseconds(1)),
                     outcome("r-1", milliseconds(20))};
    seen.outcomes[1].judged = verdict::lost;
    seen.outcomes[1].failure = "no answer";
    const auto result = make_result(experiment({.name = "n"}), seen);
    EXPECT_EQ(result->notes, (std::vector<std::string>{
                                 "r-1 at 0 ms, after 20 ms lost: no answer"}));
}

TEST(run_figures, sets_the_work_of_a_domain_change_against_the_slots_left)
{
    run_observations seen;
    // Four tasks run from 4 s on, when the grace after the change is over.
    for (int s = 0; s < 10; ++s)
        seen.agents.push_back({seconds(s), "agent-1", "domain-2",
                               s < 4 ? 0U : 4U, static_cast<unsigned>(s)});
    const auto result = make_result(with_change(), seen);
    EXPECT_DOUBLE_EQ(value_of(result, "domain_out_work"), 20);
    EXPECT_DOUBLE_EQ(value_of(result, "domain_out_slots"), 20);
    EXPECT_DOUBLE_EQ(value_of(result, "domain_out_share"), 1);
    EXPECT_DOUBLE_EQ(value_of(result, "starts_while_out"), 0);
}

TEST(run_figures, counts_starts_in_a_domain_that_is_out)
{
    const std::vector<agent_sample> samples{
        {seconds(1), "a", "domain-1", 0, 5},
        {seconds(5), "a", "domain-1", 0, 7},
        {seconds(6), "b", "domain-1", 0, 3},
        {seconds(8), "a", "domain-1", 0, 8},
        {seconds(9), "b", "domain-1", 0, 3},
        {seconds(9), "c", "domain-2", 0, 30},
        {seconds(10), "a", "domain-1", 0, 99}};
    EXPECT_EQ(starts_between(samples, "domain-1", seconds(4), seconds(9)), 1U);
}

TEST(run_result, survives_its_encoding)
{
    const run_result result({.experiment = "e",
                             .seed = 3,
                             .figures = {{"f", 1.5, "ms"}},
                             .slowdowns = {{0.5, 2}},
                             .running = {{1, 7}},
                             .notes = {"n"}});
    const auto decoded = decode_result(encode_result(result));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), result);
    EXPECT_FALSE(decode_result("{}"));
}

TEST(run_result, summarizes_repeats_and_compares_two_runs)
{
    const auto run = [](double value)
    {
        return run_result({.experiment = "e", .figures = {{"f", value, "ms"}}});
    };
    const auto summary = summarize({run(3), run(1), run(2)});
    EXPECT_NE(summary.find("2.000         1.000         3.000  ms"),
              std::string::npos)
        << summary;
    EXPECT_NE(compare(run(2), run(3)).find("1.500  ms"), std::string::npos);
}

TEST(run_result, escapes_names_in_the_page)
{
    const run_result result({.experiment = "<e>", .figures = {{"f", 1, "x"}}});
    EXPECT_NE(to_html(result).find("<h1>&lt;e></h1>"), std::string::npos);
}

} // namespace

} // namespace lagoonquay::load
