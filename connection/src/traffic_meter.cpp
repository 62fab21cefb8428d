#include "lagoonquay/connection/traffic_meter.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

// Paths may hold ids, and their number must stay bounded.
constexpr std::size_t most_paths = 16;
constexpr const char* other_paths = "other";

} // namespace

void traffic_meter::add(const path_traffic& more)
{
    const std::lock_guard lock(mutex_);
    const bool known = paths_.size() < most_paths || paths_.contains(more.path);
    const std::string path = known ? more.path : other_paths;
    auto& sum = paths_[path];
    sum.path = path;
    sum.exchanges += more.exchanges;
    sum.unanswered += more.unanswered;
    sum.bytes_sent += more.bytes_sent;
    sum.bytes_received += more.bytes_received;
    sum.total += more.total;
    sum.longest = std::max(sum.longest, more.longest);
}

std::vector<path_traffic> traffic_meter::read()
{
    const std::lock_guard lock(mutex_);
    std::vector<path_traffic> sums;
    for (auto& [path, it] : paths_)
    {
        sums.push_back(it);
        it.longest = duration::zero();
    }
    return sums;
}

} // namespace lagoonquay
