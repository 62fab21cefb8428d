#include "lagoonquay/process/task_queue.hpp"

namespace lagoonquay
{

void task_queue::push(const queued_task& it)
{
    lines_.with_shard(it.customer,
                      [&](auto& values)
                      {
                          values[it.customer].tasks.push_back(it);
                          ++size_;
                      });
}

void task_queue::push_front(const queued_task& it)
{
    lines_.with_shard(it.customer,
                      [&](auto& values)
                      {
                          auto& target = values[it.customer];
                          target.tasks.push_front(it);
                          if (target.served > 0)
                              --target.served;
                          ++size_;
                      });
}

// Another thread may empty the chosen line between the two locks; the search
// then starts again.
std::optional<queued_task> task_queue::pop()
{
    while (const auto customer = least_served())
    {
        if (auto found = take_from(*customer))
            return found;
    }
    return std::nullopt;
}

std::size_t task_queue::size() const noexcept
{
    return size_;
}

std::optional<customer_id> task_queue::least_served()
{
    std::optional<customer_id> chosen;
    std::uint64_t least = 0;
    lines_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [customer, it] : values)
            {
                if (it.tasks.empty() || (chosen && it.served >= least))
                    continue;
                chosen = customer;
                least = it.served;
            }
        });
    return chosen;
}

std::optional<queued_task> task_queue::take_from(const customer_id& customer)
{
    return lines_.with(customer,
                       [&](line* it) -> std::optional<queued_task>
                       {
                           if (it == nullptr || it->tasks.empty())
                               return std::nullopt;
                           auto found = it->tasks.front();
                           it->tasks.pop_front();
                           ++it->served;
                           --size_;
                           return found;
                       });
}

} // namespace lagoonquay
