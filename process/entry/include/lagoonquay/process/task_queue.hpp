//! Tasks of an entry that wait for a credit, by priority.
#pragma once

#include "lagoonquay/process/fair_queue.hpp"
#include "lagoonquay/request/urgency.hpp"

#include <array>
#include <bitset>
#include <cstddef>
#include <mutex>
#include <optional>

namespace lagoonquay
{

//! Priorities that a pass over the queue leaves out.
using closed_priorities = std::bitset<lowest_priority + 1>;

//! @return the priority as the queue tells them apart.
std::uint32_t level_of(std::uint32_t priority) noexcept;

//! The lowest priority number goes first; work of a less urgent priority that
//! has waited for long shares equally with it, see next_level(). Within one
//! priority it is a fair_queue. Thread-safe.
class task_queue
{
public:
    explicit task_queue(const weight_hook& weight);

    void push(queued_task queued);

    //! Puts back a task from pop() that was not sent.
    void undo_pop(queued_task queued);

    //! @param closed  priorities whose tasks stay.
    //! @return the next task; nothing if none waits.
    std::optional<queued_task> pop(instant now, closed_priorities closed = {});

    //! Counts the run of a task from pop() that was sent, for the turns that
    //! priorities take.
    void charge(const queued_task& sent);

    std::size_t size() const noexcept;

    //! @param service  whose workers the task may use; empty for any.
    //! @return the queued work that does not wait behind a new task of the
    //! customer, and the customer's share of the slots.
    queue_load load_of(const customer_id& customer,
                       const service_id& service = {},
                       std::uint32_t priority = 0);

private:
    //! Work served of each priority while others waited too. Virtual time: what
    //! is behind `now` counts as `now`, so that a priority that was idle or
    //! had to wait has saved up no turns.
    struct level_turns
    {
        std::mutex mutex;
        std::array<duration, lowest_priority + 1> served{};
        duration now{};
    };

    std::optional<std::uint32_t> choose_level(instant now,
                                              closed_priorities closed);
    fair_queue& queue_of(const queued_task& queued);

    std::array<fair_queue, lowest_priority + 1> queues_;
    level_turns turns_;
};

} // namespace lagoonquay
