#include "lagoonquay/process/task_queue.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonquay
{

namespace
{

constexpr duration min_charge = std::chrono::milliseconds(1);
constexpr duration max_charge = std::chrono::seconds(1);

template <std::size_t... Level>
std::array<fair_queue, sizeof...(Level)>
make_queues(const weight_hook& weight, std::index_sequence<Level...> /*levels*/)
{
    const auto make = [&weight](std::size_t /*level*/)
    {
        return fair_queue(weight);
    };
    return {make(Level)...};
}

} // namespace

std::uint32_t level_of(std::uint32_t priority) noexcept
{
    return std::min(priority, lowest_priority);
}

task_queue::task_queue(const weight_hook& weight)
    : queues_(
          make_queues(weight, std::make_index_sequence<lowest_priority + 1>()))
{
}

void task_queue::push(queued_task queued)
{
    auto& into = queue_of(queued);
    into.push(std::move(queued));
}

void task_queue::undo_pop(queued_task queued)
{
    auto& into = queue_of(queued);
    into.undo_pop(std::move(queued));
}

// Another thread may empty the chosen level first; the others are then tried.
std::optional<queued_task> task_queue::pop(instant now,
                                           closed_priorities closed)
{
    while (const auto level = choose_level(now, closed))
    {
        auto found = queues_[*level].pop();
        if (!found)
        {
            closed.set(*level);
            continue;
        }
        return found;
    }
    return std::nullopt;
}

std::size_t task_queue::size() const noexcept
{
    std::size_t sum = 0;
    for (const auto& it : queues_)
        sum += it.size();
    return sum;
}

queue_load task_queue::load_of(const customer_id& customer,
                               const service_id& service,
                               std::uint32_t priority)
{
    const auto own = level_of(priority);
    auto load = queues_[own].load_of(customer, service);
    for (std::uint32_t level = 0; level < queues_.size(); ++level)
    {
        if (level == own || queues_[level].size() == 0)
            continue;
        const auto other = queues_[level].load_of(customer, service);
        load.customer_tasks += other.customer_tasks;
        if (level > own)
            continue;
        load.more_urgent_work += other.all_work;
        load.all_tasks += other.all_tasks;
        load.all_work += other.all_work;
    }
    return load;
}

// Only what waits beside other priorities takes turns. `now` of the turns is
// where the level that is served next begins.
std::optional<std::uint32_t> task_queue::choose_level(instant now,
                                                      closed_priorities closed)
{
    std::vector<waiting_level> levels;
    levels.reserve(queues_.size());
    for (std::uint32_t level = 0; level < queues_.size(); ++level)
    {
        if (closed.test(level) || queues_[level].size() == 0)
            continue;
        const auto oldest = queues_[level].oldest();
        levels.push_back({level, oldest < now ? now - oldest : duration(), {}});
    }
    if (levels.size() > 1)
    {
        const std::lock_guard lock(turns_.mutex);
        for (auto& it : levels)
            it.served = std::max(turns_.served[it.priority], turns_.now);
    }
    const auto chosen = next_level(levels);
    if (!chosen)
        return std::nullopt;
    return levels[*chosen].priority;
}

// One long task must not hold up all others of its priority.
void task_queue::charge(const queued_task& sent)
{
    const auto level = level_of(sent.priority);
    const auto work = std::clamp(sent.expected_run, min_charge, max_charge);
    const std::lock_guard lock(turns_.mutex);
    const auto start = std::max(turns_.served[level], turns_.now);
    turns_.served[level] = start + work;
    turns_.now = start;
}

fair_queue& task_queue::queue_of(const queued_task& queued)
{
    return queues_[level_of(queued.priority)];
}

} // namespace lagoonquay
