//! Sends waiting tasks of an entry to agents as credits allow.
#pragma once

#include "lagoonquay/process/agent_table.hpp"
#include "lagoonquay/process/task_queue.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/routing.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>

namespace lagoonquay
{

//! What a dispatcher needs from the entry's jobs. Each may be called from any
//! thread, and none is called under a lock.
struct dispatcher_hooks
{
    route_hook route;
    //! @return the task if it still waits.
    std::function<std::optional<task>(const task_key&)> waiting;
    //! Records the dispatch. @return its message if the task still waits.
    std::function<std::optional<dispatch_message>(
        const task_key&, const agent_id&, const taken_credit&)>
        begin;
};

//! Queue, agents and credits of an entry. Thread-safe.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_hooks hooks);

    //! Adds a task; call pump() after the last one.
    void enqueue(const queued_task& it);

    //! Dispatches until the queue is empty or no agent has room.
    void pump();

    //! Takes over what an agent says of itself.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! Ends one dispatch.
    void release(const agent_id& agent);

    agent_table& agents() noexcept;
    std::size_t queued() const noexcept;
    std::uint64_t dispatched() const noexcept;

private:
    enum class step
    {
        sent,
        no_room,
        gone,
    };

    step dispatch_one(const queued_task& next);

    const dispatcher_hooks hooks_;
    agent_table agents_;
    task_queue queue_;
    std::atomic<std::uint64_t> credit_epoch_{0};
    std::atomic<std::uint64_t> dispatched_{0};
};

} // namespace lagoonquay
