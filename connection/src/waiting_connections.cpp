#include "waiting_connections.hpp"

#include <utility>

namespace lagoonquay
{

waiting_connections::number
waiting_connections::add(std::function<bool()> give_way)
{
    const std::lock_guard lock(mutex_);
    waiting_.emplace(next_, waiting{steady_now(), std::move(give_way)});
    return next_++;
}

void waiting_connections::remove(number it)
{
    const std::lock_guard lock(mutex_);
    waiting_.erase(it);
}

bool waiting_connections::close_longest(duration least)
{
    while (auto give_way = take_longest(least))
    {
        if (give_way())
            return true;
    }
    return false;
}

std::function<bool()> waiting_connections::take_longest(duration least)
{
    const std::lock_guard lock(mutex_);
    const auto longest = waiting_.begin();
    if (longest == waiting_.end() ||
        steady_now() - longest->second.since < least)
        return {};
    auto give_way = std::move(longest->second.give_way);
    waiting_.erase(longest);
    return give_way;
}

std::size_t waiting_connections::size() const
{
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

} // namespace lagoonquay
