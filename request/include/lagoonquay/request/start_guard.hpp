//! An agent's record of what it started and what it must never start.
#pragma once

#include "lagoonquay/request/dispatch.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace lagoonquay
{

//! What the guard says to a dispatch.
enum class start_verdict
{
    start,           //!< recorded; the upstream may be called
    duplicate,       //!< the task has a start record already
    fenced,          //!< a tombstone forbids the start
    claim_expired,   //!< the claim's time ran out
    wrong_agent_run, //!< addressed to another incarnation
};

//! One task of one submission.
struct task_key
{
    submission_id submission;
    task_index index;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

//! Options of a start guard.
struct start_guard_options
{
    incarnation agent_run;
    duration retention = std::chrono::minutes(10);
};

//! Start records and tombstones. Not thread-safe; its shard locks it.
class start_guard
{
public:
    explicit start_guard(start_guard_options options);

    //! Decides on a dispatch and records the start before it happens.
    start_verdict try_start(const dispatch_message& dispatch, instant now);

    //! Forbids every start of the task up to and including `last`.
    //! @return false if the task has started already.
    bool forbid(const task_key& key, attempt_number last, instant now);

    //! Forbids as forbid() does. @return what became of the task.
    status_item query(const task_key& key, attempt_number last, instant now);

    //! Keeps the result of a started attempt for an entry that asks later.
    //! @return false if it is not the last attempt that started.
    bool finish(const task_key& key, attempt_number attempt,
                const task_result& result, instant now);

    //! @return the kept result of a finished task.
    std::optional<task_result> result_of(const task_key& key) const;

    //! @return whether the task has a start record.
    bool started(const task_key& key) const noexcept;

    //! @return the last attempt that started, if one has.
    std::optional<attempt_number>
    started_attempt(const task_key& key) const noexcept;

    //! Drops records older than the retention.
    void expire(instant now);

    std::size_t size() const noexcept;

private:
    struct record
    {
        bool started = false;
        attempt_number attempt;   //!< the last one started
        attempt_number forbidden; //!< the last one forbidden
        instant touched{};
        std::optional<task_result> result;
    };

    static std::optional<start_verdict>
    refuse(const record& earlier, const dispatch_message& dispatch) noexcept;

    start_guard_options options_;
    std::map<task_key, record> records_;
};

} // namespace lagoonquay
