//! Tasks of an entry that wait for a credit, in shards by customer.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/request/start_guard.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
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
    route_request asked;
    duration expected_run{};
    instant start_by{}; //!< order within the customer
    instant since{};    //!< when it was first queued

    friend bool operator==(const queued_task&, const queued_task&) = default;
};

//! Weight of a customer's share of the slots. Called under a lock: must be
//! short and must not use the queue.
using weight_hook = std::function<std::uint32_t(const customer_id&)>;

//! How much waits, for the estimate of a new job's wait.
struct queue_load
{
    std::size_t customer_tasks = 0;
    duration customer_work{}; //!< sum of expected run times
    std::size_t all_tasks = 0;
    duration all_work{};
    double customer_share = 1; //!< among the customers that wait, 0 to 1
    //! When the customer's most urgent task was queued, if one waits.
    std::optional<instant> urgent_since;

    friend bool operator==(const queue_load&, const queue_load&) = default;
};

//! Weighted fair queueing between customers, charged by expected run time.
//! Within a customer the task that must start first goes first. Thread-safe.
class task_queue
{
public:
    explicit task_queue(weight_hook weight);

    void push(queued_task it);

    //! Puts back what pop() gave out, and refunds its customer.
    void unpop(queued_task it);

    std::optional<queued_task> pop();

    std::size_t size() const noexcept;

    //! @return the load that a new task of the customer would meet.
    queue_load load_of(const customer_id& customer);

private:
    //! Virtual time: microseconds of run time per unit of weight, scaled.
    using virtual_time = std::uint64_t;

    struct more_urgent
    {
        bool operator()(const queued_task& left,
                        const queued_task& right) const noexcept;
    };
    struct line
    {
        std::set<queued_task, more_urgent> tasks;
        virtual_time start = 0; //!< of the next task
        std::uint32_t weight = 1;
        duration work{};
    };
    struct turn
    {
        virtual_time start = 0;
        customer_id customer;

        friend auto operator<=>(const turn&, const turn&) = default;
    };
    struct shard
    {
        std::mutex mutex;
        std::unordered_map<customer_id, line> lines;
        std::set<turn> turns; //!< customers with waiting tasks
        std::atomic<virtual_time> least{0};
    };

    shard& shard_of(const customer_id& customer);
    shard* next_shard() noexcept;
    line& open_line(shard& target, const customer_id& customer);
    std::optional<queued_task> take_first(shard& from);
    void insert(shard& target, line& into, queued_task it);
    void remember_least(shard& target) noexcept;
    virtual_time burst_start(std::uint32_t weight) const noexcept;
    static virtual_time cost(const queued_task& it,
                             std::uint32_t weight) noexcept;

    const weight_hook weight_;
    std::array<shard, shard_count> shards_;
    std::atomic<virtual_time> now_{0};
    std::atomic<std::size_t> size_{0};
    std::atomic<duration::rep> work_{0};
    std::atomic<std::uint64_t> waiting_weight_{0};
};

} // namespace lagoonquay
