#include "lagoonquay/load/statistics.hpp"

#include <gtest/gtest.h>

namespace lagoonquay::load
{

namespace
{

TEST(statistics, takes_nearest_rank_quantiles)
{
    const std::vector<double> values{5, 1, 4, 2, 3};
    EXPECT_EQ(quantile(values, 0.5), 3);
    EXPECT_EQ(quantile(values, 0.99), 5);
    EXPECT_EQ(quantile(values, 0), 1);
    EXPECT_EQ(quantile({}, 0.5), 0);
}

TEST(statistics, takes_the_mean_of_the_middle_two)
{
    EXPECT_EQ(median({4, 1, 3, 2}), 2.5);
    EXPECT_EQ(median({7}), 7);
}

TEST(statistics, fits_a_line_exactly_through_points_on_one)
{
    const auto found = fit_line({{0, 1}, {1, 3}, {2, 5}});
    EXPECT_DOUBLE_EQ(found.slope, 2);
    EXPECT_DOUBLE_EQ(found.base, 1);
    EXPECT_EQ(fit_line({{1, 4}, {1, 6}}), (line{0, 5}));
}

} // namespace

} // namespace lagoonquay::load
