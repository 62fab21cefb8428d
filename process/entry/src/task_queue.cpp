#include "lagoonquay/process/task_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t weight_scale = 1000;
constexpr std::size_t most_idle_lines = 1024;
constexpr duration least_charge = std::chrono::milliseconds(1);
//! Work that a customer may get ahead of others after it was idle.
constexpr duration burst_work = std::chrono::seconds(10);
constexpr auto none_waits = std::numeric_limits<std::uint64_t>::max();

std::uint64_t cost_of(duration work, std::uint32_t weight) noexcept
{
    return static_cast<std::uint64_t>(work.count()) * weight_scale / weight;
}

} // namespace

task_queue::task_queue(weight_hook weight) : weight_(std::move(weight))
{
    for (auto& it : shards_)
        it.least = none_waits;
}

// A customer that was idle gets a burst ahead of those that always have waiting
// tasks, so that a job with many tasks of a small customer isn't limited to its
// share. Idle time saves up no more than one burst, and a charge from long ago
// has no effect, because virtual time has passed it.
void task_queue::push(queued_task it)
{
    auto& target = shard_of(it.customer);
    const std::lock_guard lock(target.mutex);
    auto& into = open_line(target, it.customer);
    if (into.tasks.empty())
        into.start = std::max(into.start, burst_start(into.weight));
    insert(target, into, std::move(it));
}

void task_queue::unpop(queued_task it)
{
    auto& target = shard_of(it.customer);
    const std::lock_guard lock(target.mutex);
    auto& into = open_line(target, it.customer);
    target.turns.erase({into.start, it.customer});
    const auto refund = cost(it, into.weight);
    into.start -= std::min(refund, into.start);
    insert(target, into, std::move(it));
}

// Another thread may empty the chosen shard before its lock is taken; the
// search then starts again.
std::optional<queued_task> task_queue::pop()
{
    while (auto* from = next_shard())
    {
        if (auto found = take_first(*from))
            return found;
    }
    return std::nullopt;
}

std::size_t task_queue::size() const noexcept
{
    return size_;
}

queue_load task_queue::load_of(const customer_id& customer)
{
    queue_load load;
    load.all_tasks = size_;
    load.all_work = duration(work_.load());
    auto weights = waiting_weight_.load();
    auto& target = shard_of(customer);
    const std::lock_guard lock(target.mutex);
    const auto it = target.lines.find(customer);
    auto own = std::max(weight_(customer), 1U);
    if (it != target.lines.end() && !it->second.tasks.empty())
    {
        own = it->second.weight;
        load.customer_tasks = it->second.tasks.size();
        load.customer_work = it->second.work;
        load.urgent_since = it->second.tasks.begin()->since;
    }
    else
    {
        weights += own;
    }
    load.customer_share =
        static_cast<double>(own) /
        static_cast<double>(std::max<std::uint64_t>(weights, own));
    return load;
}

bool task_queue::more_urgent::operator()(
    const queued_task& left, const queued_task& right) const noexcept
{
    return std::tie(left.start_by, left.key) <
           std::tie(right.start_by, right.key);
}

task_queue::shard& task_queue::shard_of(const customer_id& customer)
{
    return shards_[std::hash<customer_id>()(customer) % shard_count];
}

// The map is bounded, because callers choose the names of customers: above the
// limit, idle ones whose virtual start time has passed are removed.
task_queue::line& task_queue::open_line(shard& target,
                                        const customer_id& customer)
{
    if (target.lines.size() > most_idle_lines)
    {
        std::erase_if(target.lines,
                      [&](const auto& it)
                      {
                          return it.second.tasks.empty() &&
                                 it.second.start <= now_ &&
                                 it.first != customer;
                      });
    }
    auto& found = target.lines[customer];
    if (found.tasks.empty())
        found.weight = std::max(weight_(customer), 1U);
    return found;
}

// Compares the atomic `least` of each shard without taking a lock.
task_queue::shard* task_queue::next_shard() noexcept
{
    shard* best = nullptr;
    auto least = none_waits;
    for (auto& it : shards_)
    {
        const auto start = it.least.load();
        if (start >= least)
            continue;
        best = &it;
        least = start;
    }
    return best;
}

std::optional<queued_task> task_queue::take_first(shard& from)
{
    const std::lock_guard lock(from.mutex);
    if (from.turns.empty())
        return std::nullopt;
    const auto next = *from.turns.begin();
    from.turns.erase(from.turns.begin());
    auto& out_of = from.lines.at(next.customer);
    auto found = std::move(out_of.tasks.extract(out_of.tasks.begin()).value());
    out_of.work -= found.expected_run;
    out_of.start = next.start + cost(found, out_of.weight);
    if (out_of.tasks.empty())
        waiting_weight_ -= out_of.weight;
    else
        from.turns.insert({out_of.start, next.customer});
    remember_least(from);
    now_ = std::max(now_.load(), next.start);
    work_ -= found.expected_run.count();
    --size_;
    return found;
}

// Adds the task and schedules its customer at the present virtual start time.
void task_queue::insert(shard& target, line& into, queued_task it)
{
    const auto run = it.expected_run;
    target.turns.insert({into.start, it.customer});
    if (!into.tasks.insert(std::move(it)).second)
        return;
    if (into.tasks.size() == 1)
        waiting_weight_ += into.weight;
    into.work += run;
    work_ += run.count();
    ++size_;
    remember_least(target);
}

void task_queue::remember_least(shard& target) noexcept
{
    target.least =
        target.turns.empty() ? none_waits : target.turns.begin()->start;
}

task_queue::virtual_time
task_queue::burst_start(std::uint32_t weight) const noexcept
{
    const auto now = now_.load();
    return now - std::min(now, cost_of(burst_work, weight));
}

task_queue::virtual_time task_queue::cost(const queued_task& it,
                                          std::uint32_t weight) noexcept
{
    return cost_of(std::max(it.expected_run, least_charge), weight);
}

} // namespace lagoonquay
