#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/metrics_text.hpp"
#include "lagoonquay/process/reason_counts.hpp"

#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace lagoonquay
{

namespace
{

TEST(latency_statistics, sums_over_all_threads)
{
    constexpr int threads = 4;
    constexpr int each = 1000;
    latency_statistics statistics;
    std::vector<std::thread> running;
    for (int n = 0; n < threads; ++n)
        running.emplace_back(
            [&]
            {
                for (int i = 0; i < each; ++i)
                    statistics.add(std::chrono::milliseconds(20));
            });
    for (auto& it : running)
        it.join();
    const auto sum = statistics.summary();
    EXPECT_EQ(sum.count, 4000U);
    EXPECT_EQ(sum.total, std::chrono::seconds(80));
    EXPECT_EQ(sum.longest, std::chrono::milliseconds(20));
    EXPECT_EQ(sum.up_to[3], 0U);
    EXPECT_EQ(sum.up_to[4], 4000U);
    EXPECT_EQ(sum.up_to.back(), 4000U);
}

TEST(metrics_text, writes_the_format_of_scrapers)
{
    latency_statistics statistics;
    statistics.add(std::chrono::milliseconds(3));
    const process_metrics metrics{
        {{"jobs_total", "Jobs.", metric_kind::counter, 2}},
        {{"job_seconds", "Time.", statistics.summary()}}};
    const auto text = encode_metrics(metrics);
    EXPECT_TRUE(text.starts_with("# HELP jobs_total Jobs.\n"
                                 "# TYPE jobs_total counter\n"
                                 "jobs_total 2\n"
                                 "# HELP job_seconds Time.\n"
                                 "# TYPE job_seconds histogram\n"
                                 "job_seconds_bucket{le=\"0.001\"} 0\n"
                                 "job_seconds_bucket{le=\"0.002\"} 0\n"
                                 "job_seconds_bucket{le=\"0.005\"} 1\n"))
        << text;
    EXPECT_TRUE(text.ends_with("job_seconds_bucket{le=\"+Inf\"} 1\n"
                               "job_seconds_sum 0.003\n"
                               "job_seconds_count 1\n"))
        << text;
    EXPECT_EQ(add_latencies("{\"a\":1}", metrics),
              R"({"a":1,"latencies":{"job_seconds":)"
              R"({"count":1,"mean_us":3000,"longest_us":3000}}})");
}

TEST(reason_counts, are_samples_of_one_name_with_one_header)
{
    reason_counts counts;
    counts.add(failure_reason::overloaded);
    counts.add(failure_reason::overloaded);
    const auto text =
        encode_metrics({counts.samples("answers_total", "Answers."), {}});
    EXPECT_TRUE(text.starts_with("# HELP answers_total Answers.\n"
                                 "# TYPE answers_total counter\n"
                                 "answers_total{reason=\"none\"} 0\n"))
        << text;
    EXPECT_NE(text.find("answers_total{reason=\"overloaded\"} 2\n"),
              std::string::npos);
    EXPECT_EQ(text.find("# HELP"), text.rfind("# HELP"));
}

TEST(metrics_text, names_the_dependency_that_is_silent)
{
    const process_metrics metrics{
        {silence_sample("control", std::chrono::milliseconds(1500)),
         silence_sample("upstream", std::chrono::milliseconds(20))},
        {}};
    const auto text = encode_metrics(metrics);
    EXPECT_NE(
        text.find(
            "lagoonquay_silence_milliseconds{dependency=\"control\"} 1500\n"
            "lagoonquay_silence_milliseconds{dependency=\"upstream\"} 20\n"),
        std::string::npos)
        << text;
}

} // namespace

} // namespace lagoonquay
