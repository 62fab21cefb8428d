// The delay after which an entry asks another ledger replica.
#include "lagoonquay/process/latency_estimator.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

constexpr int sample_count = 50;
const latency_estimator_options options;

void note_samples(latency_estimator& times, duration took)
{
    for (int n = 0; n < sample_count; ++n)
        times.add_sample(took);
}

} // namespace

// With the minimum delay, a claim does not wait long for a single slow replica
// while the others are quick.
TEST(latency_estimator, delay_is_the_minimum_while_answers_are_quick)
{
    latency_estimator times(options);
    EXPECT_EQ(times.patience(), options.min_delay);
    note_samples(times, milliseconds(4));
    EXPECT_EQ(times.patience(), options.min_delay);
}

// Guards against additional load when replicas are slow: at high load each
// claim was sent to more replicas than needed, which slowed all of them.
TEST(latency_estimator, delay_exceeds_answer_times_while_all_replicas_are_slow)
{
    latency_estimator times(options);
    for (int n = 0; n < sample_count; ++n)
    {
        times.add_sample(milliseconds(40));
        times.add_sample(milliseconds(120));
    }
    EXPECT_GT(times.patience(), milliseconds(120));
}

TEST(latency_estimator,
     delay_is_capped_and_shrinks_once_answers_are_quick_again)
{
    latency_estimator times(options);
    note_samples(times, std::chrono::seconds(2));
    EXPECT_EQ(times.patience(), options.max_delay);
    note_samples(times, milliseconds(4));
    EXPECT_EQ(times.patience(), options.min_delay);
}

} // namespace lagoonquay
