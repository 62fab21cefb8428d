#include "lagoonquay/process/retry_budget.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t move_cost = 100; //!< of one move, in hundredths
constexpr std::uint64_t fleet_burst_factor = 10;
constexpr std::uint32_t max_doublings = 16;

} // namespace

retry_budget::retry_budget(retry_options options, random_hook draw)
    : options_(options), draw_(std::move(draw))
{
}

void retry_budget::add_for_dispatch(const customer_id& customer)
{
    const auto max_hundredths = options_.burst * move_cost;
    customers_.with_shard(customer, [&](auto& values)
                          { deposit(values[customer], max_hundredths); });
    const std::lock_guard lock(fleet_mutex_);
    deposit(fleet_, max_hundredths * fleet_burst_factor);
}

// The delay doubles with each move of a task, so that a worker that declines
// everything can't cause a tight retry loop. Beyond the budget every move waits
// for the longest delay.
duration retry_budget::charge_move(const customer_id& customer,
                                   std::uint32_t moves)
{
    const auto max_hundredths = options_.burst * move_cost;
    bool paid = customers_.with_shard(
        customer, [&](auto& values)
        { return try_withdraw(values[customer], max_hundredths); });
    {
        const std::lock_guard lock(fleet_mutex_);
        paid =
            try_withdraw(fleet_, max_hundredths * fleet_burst_factor) && paid;
    }
    if (!paid)
        return jittered(options_.max_delay);
    if (moves <= 1)
        return duration::zero();
    const auto doublings = std::min(moves - 2, max_doublings);
    return jittered(
        std::min(options_.first_delay * (1 << doublings), options_.max_delay));
}

bool retry_budget::try_withdraw(token_balance& from,
                                std::uint64_t max_hundredths) const noexcept
{
    if (!from.is_initialized)
        from = {max_hundredths, true};
    if (from.hundredths < move_cost)
        return false;
    from.hundredths -= move_cost;
    return true;
}

void retry_budget::deposit(token_balance& into,
                           std::uint64_t max_hundredths) const noexcept
{
    if (!into.is_initialized)
        into = {max_hundredths, true};
    into.hundredths =
        std::min(into.hundredths + options_.percent, max_hundredths);
}

// Returns a random delay between half of the given one and all of it.
duration retry_budget::jittered(duration delay) const
{
    const auto half = static_cast<std::uint64_t>(delay.count() / 2);
    return delay - duration(static_cast<duration::rep>(draw_(half + 1)));
}

} // namespace lagoonquay
