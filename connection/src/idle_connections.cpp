#include "idle_connections.hpp"

#include <utility>

namespace lagoonquay
{

idle_connections::number idle_connections::add(std::function<void()> give_way)
{
    const std::lock_guard lock(mutex_);
    waiting_.emplace(next_, std::move(give_way));
    return next_++;
}

void idle_connections::remove(number it)
{
    const std::lock_guard lock(mutex_);
    waiting_.erase(it);
}

bool idle_connections::close_longest()
{
    std::function<void()> give_way;
    {
        const std::lock_guard lock(mutex_);
        if (waiting_.empty())
            return false;
        give_way = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
    }
    give_way();
    return true;
}

} // namespace lagoonquay
