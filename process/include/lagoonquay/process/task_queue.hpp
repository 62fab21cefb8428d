//! Tasks of an entry that wait for a credit, in shards by customer.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/start_guard.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <optional>

namespace lagoonquay
{

//! A task in the queue of its customer.
struct queued_task
{
    customer_id customer;
    task_key key;

    friend auto operator<=>(const queued_task&, const queued_task&) = default;
};

//! Serves customers in turn, each in order of arrival. Thread-safe.
class task_queue
{
public:
    void push(const queued_task& it);
    //! Puts a task back at the head of its customer's queue.
    void push_front(const queued_task& it);
    std::optional<queued_task> pop();
    std::size_t size() const noexcept;

private:
    std::optional<customer_id> least_served();
    std::optional<queued_task> take_from(const customer_id& customer);

    struct line
    {
        std::deque<queued_task> tasks;
        std::uint64_t served = 0;
    };

    sharded_map<customer_id, line> lines_;
    std::atomic<std::size_t> size_{0};
};

} // namespace lagoonquay
