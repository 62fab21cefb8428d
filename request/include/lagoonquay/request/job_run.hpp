//! Progress of one job from acceptance to its answer. Pure decisions.
#pragma once

#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! Where a task stands at the entry.
enum class task_phase
{
    waiting,    //!< not with any agent
    dispatched, //!< with an agent, may have started
    finished,   //!< has its final result
};

//! Identifies one dispatch; a result counts only if all parts match.
struct attempt_key
{
    task_index index;
    attempt_number attempt;
    agent_id agent;
    incarnation agent_run;

    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

//! How an entry learned that it need not wait for an attempt any longer.
enum class attempt_end
{
    reported, //!< its agent told its end
    lost,     //!< its agent is given up; it may go on there
};

//! Whether the upstream has answered the start of an attempt.
enum class start_answer
{
    untold,     //!< the attempt's agent doesn't tell
    unanswered, //!< the start may have been sent, and may begin later
    begun,      //!< the upstream has accepted it
};

//! What is known of the start of an attempt.
struct attempt_start
{
    start_answer answer = start_answer::untold;
    instant last_end{}; //!< a run of an unanswered start has ended by then

    friend bool operator==(const attempt_start&,
                           const attempt_start&) = default;
};

//! What an agent tells of one task when an entry has asked for it.
struct attempt_report
{
    attempt_key reported;     //!< that started there, if one has
    bool started = false;     //!< if not, no attempt up to `forbidden` has
    attempt_number forbidden; //!< no attempt after that one starts, up to this
    attempt_start start = {}; //!< of the attempt that started

    friend bool operator==(const attempt_report&,
                           const attempt_report&) = default;
};

//! What became of a task by a report.
enum class report_outcome
{
    unchanged,
    confirmed,   //!< the current attempt is the one that started
    adopted,     //!< the reported attempt is the current one now
    waits_again, //!< the current attempt never starts
    ignored,     //!< it names an earlier attempt, and the current may start
};

//! Gathers the results of one job. Not thread-safe; the job's shard locks it.
class job_run
{
public:
    //! @param base  attempts are numbered from the one after it.
    explicit job_run(job submitted, attempt_number base = {});

    //! Numbers later attempts from the one after `base`.
    void set_base(attempt_number base) noexcept;

    const job& submitted() const noexcept;

    //! Records that a waiting task goes to an agent, as an attempt with a
    //! higher number than all that were dispatched or adopted before.
    //! @return the key that its result must carry.
    attempt_key dispatch(task_index index, const agent_id& agent,
                         incarnation agent_run,
                         const attempt_start& start = {});

    //! Notes that the upstream has accepted the start of the attempt, if it is
    //! a current one.
    void note_begun(const attempt_key& key);

    //! @return whether the attempt is a current one whose start has no answer
    //! and may yet begin or have begun.
    bool may_run_late(const attempt_key& key, instant now) const noexcept;

    //! Notes that the task stays with a lost agent because of its start.
    //! @return the time at which that ends, the first time for each attempt.
    std::optional<instant> note_held(const attempt_key& key);

    //! Takes a result.
    //! @return false if it is late, doubled or crossed, and was dropped.
    bool record(const attempt_key& key, const task_result& result);

    //! Returns a dispatched task to waiting on proof that it never starts.
    //! @return false if the key is not the current attempt.
    bool requeue(const attempt_key& key);

    //! Returns a dispatched task to waiting although it may have run; it is
    //! never again said not to have run. A lost attempt may be adopted later.
    //! @return false if the key is not the current attempt.
    bool retry(const attempt_key& key, attempt_end how);

    //! Returns a task whose run has ended as failed to waiting, while the job
    //! grants it another attempt.
    //! @return false if the key is not the current attempt, or was the last.
    bool retry_failed(const attempt_key& key);

    //! Notes that some earlier attempt of the task may have run.
    void doubt(task_index index);

    //! Takes what an agent tells of a task. An end that was reported before
    //! doesn't count again.
    report_outcome take_report(const attempt_report& report);

    //! Finishes every unfinished task: dispatched ones as unknown.
    //! @param waiting_effect  what is known of those that are with no agent.
    void abandon(failure_reason reason, const std::string& detail,
                 effect waiting_effect = effect::not_run);

    //! Finishes one waiting task without a dispatch.
    //! @return false if the task is not waiting.
    bool finish_waiting(task_index index, failure_reason reason,
                        const std::string& detail,
                        effect known = effect::not_run);

    //! @return the last attempt that was dispatched or adopted; number 0 if
    //! there was none, or no such task.
    attempt_key current(task_index index) const;

    //! @return the attempts that are with an agent.
    std::vector<attempt_key> dispatched() const;

    //! @return the tasks that are with no agent.
    std::vector<task_index> waiting() const;

    //! @return whether the task exists and is with no agent.
    bool is_waiting(task_index index) const noexcept;

    //! @return whether no task is with an agent, is finished or may have run.
    bool untouched() const noexcept;

    std::size_t finished_count() const noexcept;
    bool finished() const noexcept;

    //! @return the whole answer once every task is finished.
    std::optional<job_answer> answer() const;

private:
    struct slot
    {
        task_phase phase = task_phase::waiting;
        attempt_key key;
        attempt_start start;  //!< of the attempt in `key`
        bool is_held = false; //!< note_held() was called for that attempt
        attempt_number last;  //!< highest that was dispatched or adopted
        task_result result;
        bool may_have_run = false;         //!< in an earlier attempt
        std::size_t failures = 0;          //!< attempts that ran and failed
        std::vector<attempt_number> ended; //!< whose end an agent reported
    };

    const slot* find(const attempt_key& key) const noexcept;
    static bool has_ended(const slot& target, attempt_number attempt);
    static bool covers(const attempt_report& report, const slot& target);
    static report_outcome adopt(slot& target, const attempt_report& report);
    void finish(slot& target, task_result result);

    job job_;
    attempt_number base_;
    std::vector<slot> slots_;
    std::size_t finished_ = 0;
};

} // namespace lagoonquay
