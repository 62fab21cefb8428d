// Which ledger replicas are asked first.
#include "lagoonquay/process/replica_order.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace lagoonquay
{

namespace
{

const instant start(std::chrono::seconds(100));
const submission_id job("0123456789abcdef");

std::vector<endpoint> replicas(std::uint16_t count)
{
    std::vector<endpoint> all;
    for (std::uint16_t n = 0; n < count; ++n)
        all.push_back({"10.0.0.1", static_cast<std::uint16_t>(n + 1)});
    return all;
}

} // namespace

TEST(replica_order, is_the_same_at_every_entry)
{
    auto turned = replicas(9);
    std::reverse(turned.begin(), turned.end());
    EXPECT_EQ(replica_order().arrange(job, turned, start),
              replica_order().arrange(job, replicas(9), start));
}

TEST(replica_order, differs_between_submissions)
{
    std::set<endpoint> first;
    for (std::size_t n = 0; n < 100; ++n)
    {
        const submission_id it("job-" + std::to_string(n));
        first.insert(replica_order().arrange(it, replicas(9), start).front());
    }
    EXPECT_EQ(first.size(), 9U);
}

TEST(replica_order, asks_a_silent_replica_last_until_it_is_heard_or_a_second_on)
{
    replica_order it;
    const auto usual = it.arrange(job, replicas(9), start);
    it.note_silent(usual.front(), start);
    EXPECT_EQ(it.arrange(job, replicas(9), start).back(), usual.front());
    EXPECT_EQ(it.arrange(job, replicas(9), start + std::chrono::seconds(1)),
              usual);
    it.note_heard(usual.front());
    EXPECT_EQ(it.arrange(job, replicas(9), start), usual);
}

} // namespace lagoonquay
