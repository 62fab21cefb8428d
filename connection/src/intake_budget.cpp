#include "lagoonquay/connection/intake_budget.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

//! A connection that holds less gives no way: it would free nothing worth it.
constexpr std::size_t min_worth_bytes = 4096;

} // namespace

intake_budget::intake_budget(intake_options options, clock_hook now)
    : options_(options), now_(std::move(now))
{
}

intake_number intake_budget::add(std::function<void()> give_way)
{
    const auto number = next_++;
    auto& target = shard_of(number);
    const std::lock_guard lock(target.mutex);
    target.accounts.emplace(number, account{std::move(give_way), 0, {}});
    return number;
}

void intake_budget::remove(intake_number number)
{
    auto& target = shard_of(number);
    const std::lock_guard lock(target.mutex);
    const auto found = target.accounts.find(number);
    if (found == target.accounts.end())
        return;
    set(target, number, found->second, 0, found->second.since);
    target.accounts.erase(found);
}

void intake_budget::hold(intake_number number, std::size_t bytes, instant since)
{
    {
        auto& target = shard_of(number);
        const std::lock_guard lock(target.mutex);
        const auto found = target.accounts.find(number);
        if (found == target.accounts.end())
            return;
        set(target, number, found->second, bytes, since);
    }
    while (bytes_ > options_.bytes && evict_one())
    {
    }
}

void intake_budget::add_closer(std::function<bool()> close_one)
{
    const std::lock_guard lock(closers_mutex_);
    closers_.push_back(std::move(close_one));
}

bool intake_budget::close_one_waiting()
{
    std::vector<std::function<bool()>> closers;
    {
        const std::lock_guard lock(closers_mutex_);
        closers = closers_;
    }
    return std::any_of(closers.begin(), closers.end(),
                       [](const auto& close_one) { return close_one(); });
}

instant intake_budget::now() const
{
    return now_();
}

bool intake_budget::has_place() const noexcept
{
    return connections_ < options_.connections;
}

void intake_budget::take_place() noexcept
{
    ++connections_;
}

void intake_budget::free_place() noexcept
{
    --connections_;
}

std::size_t intake_budget::bytes() const noexcept
{
    return bytes_;
}

std::size_t intake_budget::connections() const noexcept
{
    return connections_;
}

std::uint64_t intake_budget::evictions() const noexcept
{
    return evictions_;
}

intake_budget::shard& intake_budget::shard_of(intake_number it) noexcept
{
    return shards_[it % shard_count];
}

// Call under the shard's lock.
void intake_budget::set(shard& target, intake_number number, account& it,
                        std::size_t bytes, instant since)
{
    if (it.bytes >= min_worth_bytes)
        target.by_age.erase({it.since, number});
    // In one step: nobody may see both counted. The difference may wrap.
    bytes_ += bytes - it.bytes;
    it.bytes = bytes;
    it.since = since;
    if (bytes >= min_worth_bytes)
        target.by_age.insert({since, number});
}

std::optional<intake_budget::exchange_age> intake_budget::oldest_exchange()
{
    std::optional<exchange_age> longest;
    for (auto& each : shards_)
    {
        const std::lock_guard lock(each.mutex);
        if (each.by_age.empty())
            continue;
        const auto& oldest = *each.by_age.begin();
        if (!longest || oldest < *longest)
            longest = oldest;
    }
    return longest;
}

// What the connection held counts as freed at once, so that no more give way
// than have to while it closes. @return false if none holds much.
bool intake_budget::evict_one()
{
    const auto chosen = oldest_exchange();
    if (!chosen || chosen->since > now_())
        return false;
    std::function<void()> give_way;
    {
        auto& target = shard_of(chosen->number);
        const std::lock_guard lock(target.mutex);
        const auto found = target.accounts.find(chosen->number);
        if (found == target.accounts.end() || !target.by_age.contains(*chosen))
            return true;
        set(target, chosen->number, found->second, 0, chosen->since);
        give_way = found->second.give_way;
    }
    ++evictions_;
    give_way();
    return true;
}

intake_account::intake_account(std::shared_ptr<intake_budget> budget,
                               std::function<void()> give_way)
    : budget_(std::move(budget)), number_(budget_->add(std::move(give_way)))
{
}

intake_account::~intake_account()
{
    budget_->remove(number_);
}

void intake_account::begin(duration grace)
{
    hold(0);
    since_ = budget_->now() + grace;
}

void intake_account::hold(std::size_t bytes)
{
    if (bytes == held_)
        return;
    held_ = bytes;
    budget_->hold(number_, bytes, since_);
}

} // namespace lagoonquay
