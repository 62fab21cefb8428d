#include "lagoonquay/process/known_reaches.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::size_t most_per_holder = 64;

template <typename Told>
auto find_number(Told& told, reach_number number)
{
    return std::find_if(told.begin(), told.end(),
                        [&](const auto& it) { return it.number == number; });
}

} // namespace

std::optional<claim_request> known_reaches::resolve(const claim_request& asked,
                                                    instant now)
{
    if (asked->named_reach == reach_number())
        return asked;
    const std::lock_guard lock(mutex_);
    auto& holder = holders_[asked->holder];
    if (holder.run != asked->holder_run)
        holder = {.run = asked->holder_run};
    holder.heard = now;
    if (asked->tells_reach)
    {
        remember(holder, asked);
        return asked;
    }
    const auto found = find_number(holder.told, asked->named_reach);
    if (found == holder.told.end())
        return std::nullopt;
    return asked.with([&](claim_request_options& it)
                      { it.reach = found->reach; });
}

void known_reaches::expire(instant now, duration retention)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(holders_, [&](const auto& it)
                  { return now - it.second.heard > retention; });
}

// Stores the reach once, so that the records of all claims that name it share
// one list.
void known_reaches::remember(holder_reaches& holder, const claim_request& asked)
{
    const auto found = find_number(holder.told, asked->named_reach);
    if (found != holder.told.end())
        return;
    if (holder.told.size() >= most_per_holder)
        holder.told.pop_front();
    holder.told.push_back({asked->named_reach, asked->reach});
}

} // namespace lagoonquay
