// The delay after which an entry asks another ledger replica.
#include "lagoonquay/process/answer_times.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

constexpr int many = 50;
const answer_times_options options;

void note_many(answer_times& times, duration took)
{
    for (int n = 0; n < many; ++n)
        times.note(took);
}

} // namespace

TEST(answer_times, one_slow_answer_among_quick_ones_is_not_waited_for)
{
    answer_times times(options);
    EXPECT_EQ(times.patience(), options.least);
    note_many(times, milliseconds(4));
    EXPECT_EQ(times.patience(), options.least);
}

// Guards against additional load when replicas are slow: at high load each
// claim was sent to more replicas than needed, which slowed all of them.
TEST(answer_times, replicas_that_are_all_slow_are_not_asked_twice)
{
    answer_times times(options);
    for (int n = 0; n < many; ++n)
    {
        times.note(milliseconds(40));
        times.note(milliseconds(120));
    }
    EXPECT_GT(times.patience(), milliseconds(120));
}

TEST(answer_times, the_wait_is_bounded_and_short_again_once_answers_are)
{
    answer_times times(options);
    note_many(times, std::chrono::seconds(2));
    EXPECT_EQ(times.patience(), options.most);
    note_many(times, milliseconds(4));
    EXPECT_EQ(times.patience(), options.least);
}

} // namespace lagoonquay
