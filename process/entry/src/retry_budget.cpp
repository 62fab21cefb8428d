#include "lagoonquay/process/retry_budget.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t price = 100; //!< of one move, in hundredths
constexpr std::uint64_t fleet_share = 10;
constexpr std::uint32_t most_doublings = 16;

} // namespace

retry_budget::retry_budget(retry_options options, random_hook draw)
    : options_(options), draw_(std::move(draw))
{
}

void retry_budget::earn(const customer_id& customer)
{
    const auto most = options_.burst * price;
    customers_.with_shard(customer,
                          [&](auto& values) { save(values[customer], most); });
    const std::lock_guard lock(fleet_mutex_);
    save(fleet_, most * fleet_share);
}

// The delay doubles with each move of a task, so that a worker that declines
// everything can't cause a tight retry loop. Beyond the budget every move waits
// for the longest delay.
duration retry_budget::spend(const customer_id& customer, std::uint32_t moves)
{
    const auto most = options_.burst * price;
    bool paid = customers_.with_shard(customer, [&](auto& values)
                                      { return pay(values[customer], most); });
    {
        const std::lock_guard lock(fleet_mutex_);
        paid = pay(fleet_, most * fleet_share) && paid;
    }
    if (!paid)
        return jittered(options_.longest_delay);
    if (moves <= 1)
        return duration::zero();
    const auto doublings = std::min(moves - 2, most_doublings);
    return jittered(std::min(options_.first_delay * (1 << doublings),
                             options_.longest_delay));
}

bool retry_budget::pay(purse& from, std::uint64_t most) const noexcept
{
    if (!from.opened)
        from = {most, true};
    if (from.saved < price)
        return false;
    from.saved -= price;
    return true;
}

void retry_budget::save(purse& into, std::uint64_t most) const noexcept
{
    if (!into.opened)
        into = {most, true};
    into.saved = std::min(into.saved + options_.percent, most);
}

// Returns a random delay between half of the given one and all of it.
duration retry_budget::jittered(duration delay) const
{
    const auto half = static_cast<std::uint64_t>(delay.count() / 2);
    return delay - duration(static_cast<duration::rep>(draw_(half + 1)));
}

} // namespace lagoonquay
