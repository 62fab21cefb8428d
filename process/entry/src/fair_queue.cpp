#include "lagoonquay/process/fair_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t weight_scale = 1000;
constexpr std::size_t max_idle_customers = 1024;
constexpr duration min_charge = std::chrono::milliseconds(1);
//! Work that a customer may get ahead of others after it was idle.
constexpr duration burst_work = std::chrono::seconds(10);
constexpr auto no_waiting_task = std::numeric_limits<std::uint64_t>::max();

//! @return whether tasks of the two services may use the same worker.
bool competes(const service_id& left, const service_id& right) noexcept
{
    return left.empty() || right.empty() || left == right;
}

std::uint64_t cost_of(duration work, std::uint32_t weight) noexcept
{
    return static_cast<std::uint64_t>(work.count()) * weight_scale / weight;
}

} // namespace

fair_queue::fair_queue(weight_hook weight) : weight_(std::move(weight))
{
    for (auto& it : shards_)
        it.min_start = no_waiting_task;
}

// A customer that was idle gets a burst ahead of those that always have waiting
// tasks, so that a job with many tasks of a customer of low weight isn't
// limited to its share. Idle time saves up no more than one burst, and a charge
// from long ago has no effect, because virtual time has passed it.
void fair_queue::push(queued_task queued)
{
    auto& target = shard_of(queued.customer);
    const std::lock_guard lock(target.mutex);
    auto& into = find_or_add_queue(target, queued.customer);
    if (into.tasks.empty())
        into.start = std::max(into.start, burst_start(into.weight));
    insert(target, into, std::move(queued));
}

void fair_queue::undo_pop(queued_task queued)
{
    auto& target = shard_of(queued.customer);
    const std::lock_guard lock(target.mutex);
    auto& into = find_or_add_queue(target, queued.customer);
    target.waiting_customers.erase({into.start, queued.customer});
    const auto refund = cost(queued, into.weight);
    into.start -= std::min(refund, into.start);
    insert(target, into, std::move(queued));
}

// Another thread may empty the chosen shard before its lock is taken; the
// search then starts again.
std::optional<queued_task> fair_queue::pop()
{
    while (auto* from = next_shard())
    {
        if (auto found = pop_from(*from))
            return found;
    }
    return std::nullopt;
}

std::size_t fair_queue::size() const noexcept
{
    return size_;
}

instant fair_queue::oldest() const noexcept
{
    auto oldest = instant::max();
    for (const auto& it : shards_)
        oldest = std::min(oldest, it.oldest.load());
    return oldest;
}

// Work that waits for other workers delays nothing here.
queue_load fair_queue::load_of(const customer_id& customer,
                               const service_id& service)
{
    queue_load load;
    std::uint64_t weights = 0;
    for (auto& each : shards_)
    {
        const std::lock_guard lock(each.mutex);
        for (const auto& [waiting_for, it] : each.services)
        {
            if (!competes(waiting_for, service))
                continue;
            load.all_tasks += it.tasks;
            load.all_work += it.work;
            weights += it.weight;
        }
    }
    auto& target = shard_of(customer);
    const std::lock_guard lock(target.mutex);
    const auto it = target.customers.find(customer);
    auto own = std::max(weight_(customer), 1U);
    if (it != target.customers.end() && !it->second.tasks.empty())
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

bool fair_queue::more_urgent::operator()(
    const queued_task& left, const queued_task& right) const noexcept
{
    return std::tie(left.start_by, left.key) <
           std::tie(right.start_by, right.key);
}

fair_queue::shard& fair_queue::shard_of(const customer_id& customer)
{
    return shards_[std::hash<customer_id>()(customer) % shard_count];
}

// The map is bounded, because callers choose the names of customers: above the
// limit, idle ones whose virtual start time has passed are removed.
fair_queue::customer_queue&
fair_queue::find_or_add_queue(shard& target, const customer_id& customer)
{
    if (target.customers.size() > max_idle_customers)
    {
        std::erase_if(target.customers,
                      [&](const auto& it)
                      {
                          return it.second.tasks.empty() &&
                                 it.second.start <= virtual_now_ &&
                                 it.first != customer;
                      });
    }
    auto& found = target.customers[customer];
    if (found.tasks.empty())
        found.weight = std::max(weight_(customer), 1U);
    return found;
}

// Compares the atomic `min_start` of each shard without taking a lock.
fair_queue::shard* fair_queue::next_shard() noexcept
{
    shard* best = nullptr;
    auto min_start = no_waiting_task;
    for (auto& it : shards_)
    {
        const auto start = it.min_start.load();
        if (start >= min_start)
            continue;
        best = &it;
        min_start = start;
    }
    return best;
}

std::optional<queued_task> fair_queue::pop_from(shard& from)
{
    const std::lock_guard lock(from.mutex);
    if (from.waiting_customers.empty())
        return std::nullopt;
    const auto next = *from.waiting_customers.begin();
    from.waiting_customers.erase(from.waiting_customers.begin());
    auto& queue = from.customers.at(next.customer);
    auto found = std::move(queue.tasks.extract(queue.tasks.begin()).value());
    uncount(from, queue, found);
    queue.start = next.start + cost(found, queue.weight);
    if (!queue.tasks.empty())
        from.waiting_customers.insert({queue.start, next.customer});
    --size_;
    update_heads(from);
    virtual_now_ = std::max(virtual_now_.load(), next.start);
    return found;
}

// Adds the task and schedules its customer at the present virtual start time.
void fair_queue::insert(shard& target, customer_queue& into, queued_task queued)
{
    target.waiting_customers.insert({into.start, queued.customer});
    const auto [it, added] = into.tasks.insert(std::move(queued));
    if (!added)
        return;
    count(target, into, *it);
    update_heads(target);
    ++size_;
}

// A customer's weight changes only while nothing of it waits.
void fair_queue::count(shard& target, customer_queue& of,
                       const queued_task& added)
{
    const auto& service = added.request.service;
    auto& load = target.services[service];
    if (++of.tasks_by_service[service] == 1)
        load.weight += of.weight;
    target.queued_at.insert(added.since);
    ++load.tasks;
    load.work += added.expected_run;
    of.work += added.expected_run;
}

void fair_queue::uncount(shard& target, customer_queue& of,
                         const queued_task& removed)
{
    const auto& service = removed.request.service;
    auto& load = target.services.at(service);
    if (--of.tasks_by_service.at(service) == 0)
    {
        load.weight -= of.weight;
        of.tasks_by_service.erase(service);
    }
    target.queued_at.extract(removed.since);
    load.work -= removed.expected_run;
    of.work -= removed.expected_run;
    if (--load.tasks == 0)
        target.services.erase(service);
}

void fair_queue::update_heads(shard& target) noexcept
{
    target.min_start = target.waiting_customers.empty()
                           ? no_waiting_task
                           : target.waiting_customers.begin()->start;
    target.oldest =
        target.queued_at.empty() ? instant::max() : *target.queued_at.begin();
}

fair_queue::virtual_time
fair_queue::burst_start(std::uint32_t weight) const noexcept
{
    const auto now = virtual_now_.load();
    return now - std::min(now, cost_of(burst_work, weight));
}

fair_queue::virtual_time fair_queue::cost(const queued_task& queued,
                                          std::uint32_t weight) noexcept
{
    return cost_of(std::max(queued.expected_run, min_charge), weight);
}

} // namespace lagoonquay
