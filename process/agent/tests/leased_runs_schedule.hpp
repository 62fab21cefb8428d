//! Random schedules, by seed, of late, lost and reordered messages between an
//! agent and its worker, on virtual time.
#pragma once

#include "fake_lease_worker.hpp"
#include "lagoonquay/process/leased_runs.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoonquay
{

//! Message faults in percent of the messages, and times between process faults.
struct fault_rates
{
    int answers_lost = 0;
    int answers_delayed = 0; //!< delayed by up to 150 ms
    int orders_late = 0;     //!< executed later, without an answer
    int orders_delayed = 0;  //!< executed up to 30 ms later
    //! Time between two restarts of the worker; zero for none.
    duration restart_period{};
    //! The clock of each life after the first begins below this, at random.
    worker_time max_first_clock{};
    //! Time between two freezes of the agent; zero for none.
    duration freeze_period{};
    duration pause{}; //!< time without starts in each pause_period
    duration pause_period = std::chrono::seconds(5);
    //! Time between two spans without any answer; zero for none.
    duration mute_period{};
    //! Time between two ends of the agent's process. Zero for none.
    duration process_period{};
    //! The next process begins after 300 ms to this time.
    duration max_process_gap = std::chrono::seconds(2);
    bool stops_all_before_end = false; //!< the process, just before it ends
    //! Time between two orders of another sender, whose token is up to 300
    //! above the highest so far. Zero for none.
    duration refusal_period{};
    duration max_lateness = std::chrono::seconds(3); //!< of a late order
    duration heartbeat_period = std::chrono::milliseconds(1500);
    duration max_work = std::chrono::milliseconds(400);
    //! Zero for a worker that stops a run at once.
    duration max_stop_time = std::chrono::milliseconds(50);
    //! Time in which a task is retried after a result of unknown effect.
    duration retry_window = duration::max();
};

//! A run whose result was reported must have ended and must never begin again.
//! Once a process of the agent is ready, no run of an earlier one goes on or
//! begins in that life of the worker.
class leased_runs_schedule
{
public:
    leased_runs_schedule(std::uint32_t seed, const fault_rates& rates);

    void run_for(duration length);

    std::vector<std::string> violations;
    int reported = 0;

private:
    int draw(int below);
    bool chance(int percent);
    std::string describe(const task_run& run) const;
    void every(duration period, const std::function<void()>& call);

    //! Calls the agent's process, if there is one, or delays the call until it
    //! is no longer frozen.
    void to_agent(std::function<void()> call);

    worker_address address(worker_life life) const;

    void begin_process();
    void end_process();
    void raise_workers_fence();
    void check_earlier_runs();
    void check_begun_run(const task_run& run);
    void heartbeat();
    void restart();
    void tick();
    bool is_paused() const;
    void submit();
    void start();

    //! The result of a task that is not retried says that the run may have
    //! begun, so the run may begin later as well.
    bool may_begin_later(const task_result& result) const;

    //! Delivers an order to the worker and its answer to the agent.
    //! @param timeout  after which the agent treats the order as unanswered.
    template <typename Reply>
    void
    exchange(duration timeout, std::function<void(const Reply&)> done,
             const std::function<void(std::function<void(Reply)>)>& execute);

    worker_hooks hooks();
    //! Reports identify the worker's life; answers to other orders don't.
    static lease_reply next_life();

    std::mt19937 random_;
    const fault_rates rates_;
    virtual_time time_;
    const instant began_ = time_.now();
    fake_lease_worker worker_;
    //! Of the agent's present process; null between two processes.
    std::unique_ptr<leased_runs> runs_;
    std::uint64_t process_ = 1;
    //! The last process that was ready, and the worker's life then.
    std::pair<std::uint64_t, worker_life> ready_in_{0, 0};
    std::map<task_run, std::uint64_t> started_by_; //!< process of each run
    worker_life known_life_{0};
    instant frozen_until_{};
    instant unanswered_until_{};
    std::uint64_t submitted_ = 0;
    std::set<task_run> reported_runs_;
};

} // namespace lagoonquay
