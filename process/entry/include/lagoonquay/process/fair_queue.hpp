//! Tasks of one priority that wait for a credit, in shards by customer.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/request/start_guard.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonquay
{

//! A task in the queue of its customer.
struct queued_task
{
    customer_id customer;
    task_key key;
    std::string kind;
    std::uint32_t priority = 0; //!< 0 goes first
    route_request request;
    duration expected_run{};
    //! Latest start that meets the due time; the order in the queue.
    instant start_by{};
    instant since{}; //!< when it was first queued

    friend bool operator==(const queued_task&, const queued_task&) = default;
};

//! Returns the weight of a customer's share of the slots. Called while a lock
//! of the queue is held: must be fast and must not use the queue.
using weight_hook = std::function<std::uint32_t(const customer_id&)>;

//! Queued work, from which the wait of a new job is estimated. What waits
//! behind the job, as less urgent, is left out.
struct queue_load
{
    std::size_t customer_tasks = 0; //!< of every priority
    //! Sum of expected run times, of the priority of the job alone.
    duration customer_work{};
    //! Of all customers and of more urgent priorities than the job's.
    duration more_urgent_work{};
    //! Of all customers, for the workers of one service.
    std::size_t all_tasks = 0;
    duration all_work{};
    //! Of the weights of the customers whose tasks of the job's priority wait
    //! for these workers, 0 to 1.
    double customer_share = 1;
    //! When the customer's most urgent task was queued, if one waits.
    std::optional<instant> urgent_since;

    friend bool operator==(const queue_load&, const queue_load&) = default;
};

//! Weighted fair queueing between customers, charged by expected run time.
//! Within a customer the task with the earliest `start_by` goes first.
//! Thread-safe.
class fair_queue
{
public:
    explicit fair_queue(weight_hook weight);

    void push(queued_task queued);

    //! Puts back a task from pop() and refunds its customer the charge.
    void undo_pop(queued_task queued);

    //! @return the next task; nothing if the queue is empty.
    std::optional<queued_task> pop();

    std::size_t size() const noexcept;

    //! @return when the task that has waited longest was queued; the maximum if
    //! none waits.
    instant oldest() const noexcept;

    //! @param service  whose workers the task may use; empty for any.
    //! @return the queued work and the customer's share of the slots, as a new
    //! task of the customer would find them.
    queue_load load_of(const customer_id& customer,
                       const service_id& service = {});

private:
    //! Virtual time of the fair queueing: microseconds of run time, multiplied
    //! by a scale of 1000 and divided by the weight.
    using virtual_time = std::uint64_t;

    struct more_urgent
    {
        bool operator()(const queued_task& left,
                        const queued_task& right) const noexcept;
    };
    struct customer_queue
    {
        std::set<queued_task, more_urgent> tasks;
        virtual_time start = 0; //!< of the next task
        std::uint32_t weight = 1;
        duration work{};
        std::map<service_id, std::size_t> tasks_by_service;
    };
    //! What waits for the workers of one service.
    struct service_load
    {
        std::size_t tasks = 0;
        duration work{};
        std::uint64_t weight = 0; //!< of the customers that wait for them
    };
    struct waiting_customer
    {
        virtual_time start = 0;
        customer_id customer;

        friend auto operator<=>(const waiting_customer&,
                                const waiting_customer&) = default;
    };
    struct shard
    {
        std::mutex mutex;
        std::unordered_map<customer_id, customer_queue> customers;
        std::set<waiting_customer> waiting_customers;
        std::map<service_id, service_load> services;
        std::multiset<instant> queued_at;
        std::atomic<virtual_time> min_start{0};
        std::atomic<instant> oldest{instant::max()};
    };

    shard& shard_of(const customer_id& customer);
    shard* next_shard() noexcept;
    customer_queue& find_or_add_queue(shard& target,
                                      const customer_id& customer);
    std::optional<queued_task> pop_from(shard& from);
    void insert(shard& target, customer_queue& into, queued_task queued);
    static void count(shard& target, customer_queue& of,
                      const queued_task& added);
    static void uncount(shard& target, customer_queue& of,
                        const queued_task& removed);
    static void update_heads(shard& target) noexcept;
    virtual_time burst_start(std::uint32_t weight) const noexcept;
    static virtual_time cost(const queued_task& queued,
                             std::uint32_t weight) noexcept;

    const weight_hook weight_;
    std::array<shard, shard_count> shards_;
    std::atomic<virtual_time> virtual_now_{0};
    std::atomic<std::size_t> size_{0};
};

} // namespace lagoonquay
