//! An agent's slots: credits of its links, and tasks that wait to start. Pure.
#pragma once

#include "lagoonquay/connection/typical_need.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/ids.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! One link of this process incarnation.
using link_number = number_id<struct link_tag>;

//! Total that one link's entry has to hear.
struct link_grant
{
    link_number link;
    std::uint64_t credits_total = 0;

    friend auto operator<=>(const link_grant&, const link_grant&) = default;
};

//! A task that waits for a slot.
struct waiting_start
{
    link_number link;
    dispatch_message message;
    instant since{}; //!< when it arrived

    friend bool operator==(const waiting_start&,
                           const waiting_start&) = default;
};

//! Chooses among the tasks that wait.
using waiting_filter = std::function<bool(const waiting_start&)>;

//! Never runs more tasks than slots, nor more than the capacity holds. Each
//! link has credits for at most as many usual tasks as run at a time; while
//! tasks wait, each falls back to its fair share. Not thread-safe.
class agent_slots
{
public:
    //! Replaces slots and capacity; running tasks stay.
    void resize(std::uint32_t slots, const resources& capacity) noexcept;

    //! Gives no credit any more.
    void drain() noexcept;

    //! @return whether it drains, no task is here and no credit is out: then
    //! no link can send a dispatch any more.
    bool drained() const noexcept;

    void open(link_number link);
    //! Forgets the link; its tasks stay until they end or are taken out.
    void close(link_number link);

    //! Takes back unused credits, as a total since the link opened.
    void give_back(link_number link, std::uint64_t returned_total);

    //! Counts a dispatch that came on a link, whatever becomes of it.
    void note_received(link_number link);

    //! @return dispatches received on a link since it opened.
    std::uint64_t received(link_number link) const;

    //! Takes a task, which uses one credit.
    //! @return false if the link has none.
    bool accept(link_number link, const dispatch_message& message, instant now);

    //! Takes a slot for a task that waits and fits, in the order of
    //! goes_before().
    std::optional<waiting_start> next(instant now);

    //! @return whether this very dispatch waits already.
    bool is_waiting(link_number link, const dispatch_message& message) const;

    //! Takes out the chosen tasks that wait; each must be given to drop().
    std::vector<waiting_start> take_waiting(const waiting_filter& chosen);

    //! Frees the slot of a task.
    //! @return the link's total if a credit came back, or zero.
    std::uint64_t finish(link_number link, const resources& need);

    //! Ends a task that never had a slot. @return as finish().
    std::uint64_t drop(link_number link);

    //! Gives credits to links that have neither credit nor task.
    //! @return the links whose totals changed.
    std::vector<link_grant> refill();

    //! @return the total of one link.
    link_grant total(link_number link) const;

    std::uint32_t running() const noexcept;
    //! @return tasks that run or wait.
    std::uint32_t busy() const noexcept;
    //! @return the needs of all tasks that run or wait.
    resources demand() const noexcept;
    std::uint32_t slots() const noexcept;

private:
    struct account
    {
        std::uint64_t granted = 0;
        std::uint64_t used = 0; //!< or given back
        std::uint64_t returned = 0;
        std::uint32_t here = 0; //!< tasks that run or wait
        std::uint64_t received = 0;
    };

    static std::uint64_t holding(const account& it) noexcept;
    std::uint32_t window() const noexcept;
    std::uint32_t usual_most() const noexcept;
    bool has_room(const resources& need) const noexcept;

    std::uint32_t slots_ = 0;
    std::uint32_t running_ = 0;
    bool draining_ = false;
    resources capacity_;
    resources used_;
    typical_need usual_;
    std::map<link_number, account> accounts_;
    std::deque<waiting_start> waiting_;
};

} // namespace lagoonquay
