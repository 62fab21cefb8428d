//! Runs of tasks at a worker that holds them under a lease.
#pragma once

#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/connection/worker.hpp"

#include <cstddef>
#include <memory>

namespace lagoonquay
{

struct leased_runs_options
{
    //! The longest that a run goes on without an agent. Until it is over, no
    //! young ledger can tell that the runs of a dead entry have ended.
    duration lease = std::chrono::milliseconds(600);
    //! The longest lease that a worker grants, whatever it was asked for.
    duration longest_lease = std::chrono::seconds(1);
    //! Time after which a lease is extended even if no run ends.
    duration extend_period = std::chrono::milliseconds(200);
    //! Allowance for what a worker's clock may lag.
    duration clock_margin = std::chrono::milliseconds(100);
    //! A worker that leaves orders unanswered for longer gets no starts, and
    //! its lease is not extended, so that its runs are known to end.
    duration silence = std::chrono::milliseconds(200);
    //! Time without a report after which the worker is asked for one.
    duration report_period = std::chrono::milliseconds(60);
    //! Least time between two questions that the worker answers at once.
    duration look_period = std::chrono::milliseconds(20);
    //! Least time without progress after which a run is stopped.
    duration stall = std::chrono::milliseconds(400);
    //! Longest that a worker takes to stop a run.
    duration stop_time = std::chrono::milliseconds(50);
    duration stop_retry = std::chrono::milliseconds(150);

    friend bool operator==(const leased_runs_options&,
                           const leased_runs_options&) = default;
};

//! @return the longest that a run goes on after its agent has ended.
duration longest_alone(const leased_runs_options& options) noexcept;

struct leased_runs_hooks
{
    clock_hook now;
    worker_hooks worker;
    //! ready() has changed.
    std::function<void()> on_readiness;
};

//! Keeps the lease of a worker's runs, notes how they end, and makes a start
//! without an answer void before it reports it. Thread-safe.
class leased_runs
{
public:
    leased_runs(leased_runs_options options, leased_runs_hooks hooks);
    ~leased_runs();
    leased_runs(const leased_runs&) = delete;
    leased_runs& operator=(const leased_runs&) = delete;

    //! Takes over a worker, or its next life: what ran in an earlier one is
    //! over. What a new worker still runs for an earlier agent is stopped.
    //! @param clock  the worker's clock as it was just heard.
    //! @param decision  rises with each decision on the worker, since threads
    //! may hand them over in another order; a lower one changes nothing.
    void set_worker(const worker_address& worker, worker_time clock,
                    std::uint64_t decision = 0);

    //! @return whether the worker answers orders and runs nothing unknown.
    bool ready() const;

    //! Starts a run. `done` gets its result once the run is known to be over
    //! and its room at the worker is free.
    void start(const upstream_call& call, upstream_callback done);

    //! Stops a run; its result follows.
    void stop(const task_run& run);

    //! Handles time. Call each 50 ms or so.
    void tick();

    //! @return runs without a result.
    std::size_t size() const;

private:
    struct state;

    const std::shared_ptr<state> state_;
};

} // namespace lagoonquay
