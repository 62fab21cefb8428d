//! Sends the jobs of a plan on schedule and gathers what became of them.
#pragma once

#include "lagoonquay/load/verdict.hpp"
#include "lagoonquay/process/sharded_map.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoonquay::load
{

//! Gets the answer once, or nothing if none could be read.
using reply_hook = std::function<void(const std::optional<job_answer>&)>;

//! What the runner needs from outside. Each may be called from any thread.
struct runner_hooks
{
    clock_hook now;
    wall_clock_hook wall;
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(std::size_t entry, const job&, reply_hook)> submit;
    std::function<void(std::size_t entry, const submission_id&)> cancel;
};

//! What became of one planned job.
struct job_outcome
{
    planned_job planned;
    duration response{}; //!< from the scheduled arrival to the first answer
    verdict judged = verdict::lost;
    bool claims_not_run = false;         //!< some answer said "not run"
    std::optional<verdict> resubmission; //!< its verdict, if it was sent
    bool contradictory = false;          //!< both answered, not the same
    std::string failure;                 //!< what the last answer said, if not
                                         //!< complete

    friend bool operator==(const job_outcome&, const job_outcome&) = default;
};

//! Open-loop sender: no job waits for the answer to another, and responses
//! count from the scheduled arrival. Thread-safe.
class job_runner
{
public:
    job_runner(std::vector<planned_job> plan, std::size_t entries,
               runner_hooks hooks);

    //! Schedules every job.
    void start();

    //! Blocks until every request is answered.
    void wait();

    std::size_t sent() const noexcept;
    std::size_t answered() const noexcept;

    //! @return every job, by arrival. Call after wait().
    std::vector<job_outcome> outcomes();

private:
    struct record
    {
        std::optional<instant> first_answer;
        std::vector<std::optional<job_answer>> answers;
    };

    void send(const planned_job& planned, instant scheduled);
    void submit(const planned_job& planned, const job& work, std::size_t entry);
    void on_answer(const submission_id& id,
                   const std::optional<job_answer>& answer);
    job_outcome judge_record(const planned_job& planned);

    const std::vector<planned_job> plan_;
    const std::size_t entries_;
    const runner_hooks hooks_;
    instant started_{};
    std::size_t expected_ = 0;
    std::atomic<std::size_t> sent_ = 0;
    std::atomic<std::size_t> answered_ = 0;
    sharded_map<submission_id, record> records_;
    std::mutex done_mutex_;
    std::condition_variable done_;
};

} // namespace lagoonquay::load
