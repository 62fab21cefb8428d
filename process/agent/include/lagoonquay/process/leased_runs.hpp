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
    //! Maximum time that a run continues without an agent. A ledger that has
    //! just started can't assume earlier that the runs of a dead entry have
    //! ended.
    duration lease = std::chrono::milliseconds(600);
    //! Maximum lease that a worker grants, even if more was requested.
    duration longest_lease = std::chrono::seconds(1);
    //! Time after which a lease is extended even if no run ends.
    duration extend_period = std::chrono::milliseconds(200);
    //! Allowance for the lag of a worker's clock.
    duration clock_margin = std::chrono::milliseconds(100);
    //! A worker that leaves orders unanswered for longer gets no starts, and
    //! its lease is not extended, so that its runs end when the lease expires.
    duration unresponsive_timeout = std::chrono::milliseconds(200);
    //! Time without a report after which the worker is asked for one.
    duration report_timeout = std::chrono::milliseconds(60);
    //! Minimum time between two report requests that the worker answers at
    //! once.
    duration min_poll_period = std::chrono::milliseconds(20);
    //! Minimum time without progress after which a run is stopped.
    duration min_stall_timeout = std::chrono::milliseconds(400);
    //! Maximum time that a worker takes to stop a run.
    duration stop_time = std::chrono::milliseconds(50);
    //! Time after which a stop without a known end is sent again.
    duration stop_retry_delay = std::chrono::milliseconds(150);
    //! Maximum time after which an order without an answer is still executed.
    duration max_order_delay = std::chrono::seconds(15);

    friend bool operator==(const leased_runs_options&,
                           const leased_runs_options&) = default;
};

//! @return the maximum time that a run continues after its agent has ended,
//! with allowance for the worker's slower clock.
duration
max_run_time_without_agent(const leased_runs_options& options) noexcept;

//! @return the maximum time from the sending of a start that gets no answer to
//! the end of its run: it may begin late, in a next life of the worker, which
//! may grant the longest lease.
duration max_late_run_time(const leased_runs_options& options) noexcept;

struct leased_runs_hooks
{
    clock_hook now;
    worker_hooks worker;
    //! Called after the result of ready() has changed.
    std::function<void()> on_readiness;
    //! Called once for each start that the worker has accepted, by its answer
    //! or by its list; may be absent.
    std::function<void(const task_run&)> on_begun = {};
};

//! Extends the lease of a worker's runs and records how they end. A start
//! without an answer is revoked by a stop before its result is reported.
//! Thread-safe.
class leased_runs
{
public:
    leased_runs(leased_runs_options options, leased_runs_hooks hooks);
    ~leased_runs();
    leased_runs(const leased_runs&) = delete;
    leased_runs& operator=(const leased_runs&) = delete;

    //! Sets the worker, or its next life after a restart. Runs that a report of
    //! an earlier life confirmed have ended; others may run in the next life.
    //! Runs that a new worker still holds for an earlier agent are stopped.
    //! @param clock  the worker's clock as last received.
    //! @param decision  sequence number of the decision that selected the
    //! worker; threads may deliver decisions out of order, so a lower number
    //! than the last is ignored.
    void set_worker(const worker_address& worker, worker_time clock,
                    std::uint64_t decision = 0);

    //! @return whether the worker answers orders and holds no unknown run.
    bool ready() const;

    //! Starts a run. `done` gets its result once the run has certainly ended
    //! and no longer takes capacity of the worker. A start without an answer
    //! may still begin in the worker's next life: the result is then of unknown
    //! effect, and is held until that is impossible or the call's retry window
    //! is over. `done` gets failure_reason::not_startable at once if ready() is
    //! false or the run has been started already and has no result yet.
    void start(const upstream_call& call, upstream_callback done);

    //! Stops a run; its result is still passed to the callback of start(). Does
    //! nothing if the run is unknown or is being stopped.
    void stop(const task_run& run);

    //! Handles timeouts and extends the lease. Call about every 50 ms.
    void tick();

    //! @return the token of the orders to a worker of this id, whatever its
    //! life; 0 if there were none.
    fencing_token token_for(const std::string& id) const;

    //! @return the number of runs that may take capacity of the worker.
    std::size_t size() const;

private:
    struct state;

    const std::shared_ptr<state> state_;
};

} // namespace lagoonquay
