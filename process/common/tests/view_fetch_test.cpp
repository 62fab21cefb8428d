#include "lagoonquay/process/view_fetch.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const endpoint first{"10.0.0.1", 1};
const endpoint second{"10.0.0.2", 1};
const version_number old_version(3);
const version_number new_version(4);

TEST(view_fetch, asks_nobody_who_knows_no_more)
{
    view_fetch fetch;
    EXPECT_FALSE(fetch.take(old_version));
    fetch.heard(first, old_version);
    EXPECT_FALSE(fetch.take(old_version));
}

TEST(view_fetch, asks_one_replica_at_a_time)
{
    view_fetch fetch;
    fetch.heard(first, new_version);
    const auto query = fetch.take(old_version);
    ASSERT_TRUE(query);
    EXPECT_EQ(query->replica, first);
    fetch.heard(second, new_version);
    EXPECT_FALSE(fetch.take(old_version));
    fetch.arrived();
    EXPECT_FALSE(fetch.take(new_version));
    EXPECT_TRUE(fetch.take(old_version));
}

TEST(view_fetch, asks_another_replica_after_a_failure)
{
    view_fetch fetch;
    fetch.heard(first, new_version);
    fetch.heard(second, new_version);
    EXPECT_EQ(fetch.take(old_version)->replica, first);
    fetch.failed();
    EXPECT_EQ(fetch.take(old_version)->replica, second);
    fetch.failed();
    EXPECT_FALSE(fetch.take(old_version));
    fetch.heard(first, new_version);
    EXPECT_EQ(fetch.take(old_version)->replica, first);
}

TEST(view_fetch, a_view_that_was_too_slow_gets_more_time)
{
    const view_fetch_options options{.first_timeout = std::chrono::seconds(1),
                                     .longest_timeout =
                                         std::chrono::seconds(3)};
    view_fetch fetch(options);
    fetch.heard(first, new_version);
    EXPECT_EQ(fetch.take(old_version)->timeout, std::chrono::seconds(1));
    fetch.failed();
    fetch.heard(first, new_version);
    EXPECT_EQ(fetch.take(old_version)->timeout, std::chrono::seconds(2));
    fetch.failed();
    fetch.heard(first, new_version);
    EXPECT_EQ(fetch.take(old_version)->timeout, std::chrono::seconds(3));
    fetch.arrived();
    EXPECT_EQ(fetch.take(old_version)->timeout, std::chrono::seconds(1));
}

} // namespace

} // namespace lagoonquay
