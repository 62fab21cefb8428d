#include "lagoonquay/process/latency_statistics.hpp"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <thread>

namespace acc = boost::accumulators;

namespace lagoonquay
{

namespace
{

using latency_accumulator = acc::accumulator_set<
    duration::rep, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

} // namespace

struct latency_statistics::shard
{
    std::mutex mutex;
    latency_accumulator values;
    std::array<std::uint64_t, latency_bounds.size()> up_to{};
};

latency_statistics::latency_statistics()
{
    for (auto& it : shards_)
        it = std::make_unique<shard>();
}

latency_statistics::~latency_statistics() = default;

void latency_statistics::add(duration span)
{
    const auto thread =
        std::hash<std::thread::id>()(std::this_thread::get_id());
    auto& target = *shards_[thread % shards];
    const std::lock_guard lock(target.mutex);
    target.values(span.count());
    for (std::size_t n = 0; n < latency_bounds.size(); ++n)
        target.up_to[n] += span <= latency_bounds[n] ? 1 : 0;
}

latency_summary latency_statistics::summary() const
{
    latency_summary sum;
    for (const auto& it : shards_)
    {
        const std::lock_guard lock(it->mutex);
        if (acc::count(it->values) == 0)
            continue;
        sum.count += acc::count(it->values);
        sum.total += duration(acc::sum(it->values));
        sum.longest = std::max(sum.longest, duration(acc::max(it->values)));
        for (std::size_t n = 0; n < latency_bounds.size(); ++n)
            sum.up_to[n] += it->up_to[n];
    }
    return sum;
}

} // namespace lagoonquay
