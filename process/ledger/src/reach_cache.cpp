#include "lagoonquay/process/reach_cache.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// More than the 16 recent reaches that a holder sends by number (see
// delivered_reaches.cpp).
constexpr std::size_t max_reaches_per_holder = 64;

template <typename Reaches>
auto find_reach(Reaches& reaches, reach_number number)
{
    return std::find_if(reaches.begin(), reaches.end(),
                        [&](const auto& it) { return it.number == number; });
}

} // namespace

std::optional<claim_request> reach_cache::resolve(const claim_request& asked,
                                                  instant now)
{
    if (asked->cached_reach_number == reach_number())
        return asked;
    const std::lock_guard lock(mutex_);
    auto& holder = holders_[asked->holder];
    if (holder.run != asked->holder_run)
        holder = {.run = asked->holder_run};
    holder.last_claim = now;
    if (asked->contains_reach)
    {
        store(holder, asked);
        return asked;
    }
    const auto found = find_reach(holder.reaches, asked->cached_reach_number);
    if (found == holder.reaches.end())
        return std::nullopt;
    return asked.with([&](claim_request_options& it)
                      { it.reach = found->reach; });
}

void reach_cache::expire(instant now, duration retention)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(holders_, [&](const auto& it)
                  { return now - it.second.last_claim > retention; });
}

// Stores the reach once, so that the records of all claims that name it share
// one list.
void reach_cache::store(holder_reaches& holder, const claim_request& asked)
{
    const auto found = find_reach(holder.reaches, asked->cached_reach_number);
    if (found != holder.reaches.end())
        return;
    if (holder.reaches.size() >= max_reaches_per_holder)
        holder.reaches.pop_front();
    holder.reaches.push_back({asked->cached_reach_number, asked->reach});
}

} // namespace lagoonquay
