//! Random schedules, by seed, of late, lost and reordered messages between an
//! agent and its worker, on virtual time.
#pragma once

#include "fake_lease_worker.hpp"
#include "lagoonquay/process/leased_runs.hpp"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Message faults in percent of the messages, and times between process faults.
struct fault_rates
{
    int answers_lost = 0;
    int answers_delayed = 0; //!< delayed by up to 150 ms
    int orders_late = 0;     //!< executed up to 3 s later, without an answer
    int orders_delayed = 0;  //!< executed up to 30 ms later
    //! Time between two restarts of the worker; zero for none.
    duration restart_period{};
    //! Time between two freezes of the agent; zero for none.
    duration freeze_period{};
    duration pause{}; //!< time without starts in each 5 s
    //! Time between two spans without any answer; zero for none.
    duration mute_period{};
    //! Time in which a task is retried after a result of unknown effect.
    duration retry_window = duration::max();
};

//! A run whose result was reported must have ended and must never begin again.
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

    //! Calls the agent, or delays the call until it is no longer frozen.
    void to_agent(std::function<void()> call);

    worker_address address(worker_life life) const;

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
    leased_runs runs_;
    worker_life known_life_{0};
    instant frozen_until_{};
    instant unanswered_until_{};
    std::uint64_t submitted_ = 0;
    std::set<task_run> reported_runs_;
};

} // namespace lagoonquay
