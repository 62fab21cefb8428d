#include "lagoonquay/connection/traffic_meter.hpp"

#include <gtest/gtest.h>

using namespace lagoonquay;
using namespace std::chrono_literals;

TEST(traffic_meter, adds_up_by_path)
{
    traffic_meter meter;
    meter.add({.path = "/a",
               .exchanges = 1,
               .bytes_sent = 10,
               .total = 5ms,
               .longest = 5ms});
    meter.add({.path = "/b", .exchanges = 1, .bytes_received = 7});
    meter.add({.path = "/a",
               .exchanges = 1,
               .unanswered = 1,
               .bytes_sent = 1,
               .total = 2ms,
               .longest = 2ms});
    const std::vector<path_traffic> expected{
        {.path = "/a",
         .exchanges = 2,
         .unanswered = 1,
         .bytes_sent = 11,
         .total = 7ms,
         .longest = 5ms},
        {.path = "/b", .exchanges = 1, .bytes_received = 7}};
    EXPECT_EQ(meter.read(), expected);
    EXPECT_EQ(meter.read().front().longest, 0ms);
}

TEST(traffic_meter, paths_with_ids_do_not_grow_it)
{
    traffic_meter meter;
    for (int n = 0; n < 100; ++n)
        meter.add({.path = "/jobs/" + std::to_string(n), .exchanges = 1});
    const auto sums = meter.read();
    EXPECT_LE(sums.size(), 17U);
    std::uint64_t exchanges = 0;
    for (const auto& it : sums)
        exchanges += it.exchanges;
    EXPECT_EQ(exchanges, 100U);
}
