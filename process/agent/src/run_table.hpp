//! Decisions on the runs of one worker, without I/O. The owner locks.
#pragma once

#include "given_up_runs.hpp"
#include "lagoonquay/process/leased_runs.hpp"
#include "run_events.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

//! A worker's clock may be slower than ours by at most 1 / clock_drift_part.
constexpr std::int64_t clock_drift_part = 40;

//! An extension and its sequence number in this table.
struct numbered_extension
{
    lease_order order;
    std::uint64_t number = 0;
    instant sent{};
};

//! A result and the callback that receives it.
struct run_result
{
    upstream_callback done;
    task_result result;
};

//! Orders, results and log entries that the owner handles without the lock.
struct run_table_output
{
    worker_address worker;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<numbered_extension> extensions;
    std::vector<task_run> accepted; //!< whose start the worker has accepted
    std::vector<run_result> results;
    std::vector<given_up_run> given_up;       //!< to be logged
    std::vector<unanswered_start> unanswered; //!< to be logged
    std::vector<held_start> held;             //!< to be logged
    std::vector<resurfaced_run> resurfaced;   //!< to be logged
    std::vector<stopped_run> stopped;         //!< to be logged
    std::optional<begun_life> begun;          //!< to be logged
    bool readiness_changed = false;
};

class run_table
{
public:
    explicit run_table(leased_runs_options options);

    //! @param decision  sequence number of the decision that selected the
    //! worker; a lower number than the last is ignored.
    //! @return whether the worker is new or has restarted.
    bool set_worker(const worker_address& worker, worker_time clock,
                    instant now, std::uint64_t decision = 0);
    void start(const upstream_call& call, upstream_callback done, instant now);
    void stop(const task_run& run, instant now);
    void tick(instant now);

    void on_start(worker_life life, const start_order& order,
                  const order_reply& reply, instant now);
    void on_stop(worker_life life, const stop_order& order,
                 const order_reply& reply, instant now);
    void on_extended(worker_life life, const numbered_extension& sent,
                     const lease_reply& reply, instant now);

    run_table_output take_output(instant now);
    bool ready(instant now) const;
    //! @return the token of the last orders to a worker of this id.
    fencing_token token_for(const std::string& id) const;
    std::size_t size() const noexcept;

private:
    enum class phase
    {
        starting,    //!< the start is in flight
        unconfirmed, //!< the start got no answer
        running,
        stopping,      //!< to be stopped or revoked
        stop_accepted, //!< its end may still be listed
    };
    struct run
    {
        upstream_callback done;
        instant ordered{};
        worker_time clock_when_ordered{};
        bool is_start_resolved = false; //!< no start is in flight
        //! A report of this life listed the run, or was requested after the
        //! start was accepted.
        bool is_life_confirmed = false;
        instant accepted{}; //!< when the answer to the start was received
        worker_time clock_when_accepted{};
        //! The highest lease end that was sent in earlier lives.
        worker_time earlier_lease_end{};
        instant retry_end{}; //!< until when an unknown result may be retried
        phase current_phase = phase::starting;
        //! Reports of extensions with a higher number were requested after
        //! the last answer about this run.
        std::uint64_t stale_reports_up_to = 0;
        instant stop_sent{};
        instant stopped{};           //!< when the worker accepted the stop
        bool cancelled = false;      //!< stop() was called
        std::uint32_t percent = 0;   //!< highest progress reported
        instant progressed_at{};     //!< when the percentage last rose
        duration max_progress_gap{}; //!< maximum time between two rises
    };

    //! The result of a run that ended in this life of the worker, but whose
    //! start may still reach the next one.
    struct held_result
    {
        run_result result;
        instant since{};
        instant until{};
    };

    //! A run at the worker that is not in the table: of an earlier agent, or
    //! one that was given up.
    struct unknown_run
    {
        instant stop_sent{};            //!< when the last stop was sent
        std::optional<instant> stopped; //!< when the worker accepted the stop
    };

    bool is_current_life(worker_life life) const noexcept;
    void handle_reply(const order_reply& reply, instant now);
    void update_clock(worker_time clock, instant now);
    void update_clock_from_report(worker_time clock, instant now);
    fencing_token token_at(worker_time clock) const;
    void raise_fence(fencing_token refused, const order_reply& reply,
                     instant now);
    bool earlier_stops_are_over(instant asked_at) const;
    void give_up_runs_of_earlier_life(bool is_same_worker, instant now);
    void keep_for_next_life(const task_run& id, run& it, instant now);
    static order_result result_in_this_life(const run& it,
                                            const order_reply& reply);
    void resolve_start(const task_run& id, run& it);
    void mark_life_unconfirmed(instant now);
    instant max_lease_end(instant now) const;
    bool is_unresponsive(instant now) const;
    worker_time worker_now(instant now) const;
    worker_time next_lease_end(instant now);
    void begin_stop(const task_run& id, run& it, stop_cause cause, instant now,
                    duration list_age = {});
    void send_stop(const task_run& id, run& it, instant now);
    void stop_unknown_runs(const std::vector<running_run>& running,
                           instant asked_at, instant now);
    void record_ends(const std::vector<ended_run>& ended, instant now);
    void record_resurfaced(const task_run& id, bool is_running, instant now);
    void record_running(const std::vector<running_run>& running,
                        std::uint64_t number, instant asked_at, instant now);
    duration stop_time() const noexcept;
    void record_progress(const std::vector<running_run>& running, instant now);
    bool is_stalled(const run& it, instant now) const;
    void record_stopped(const ended_run& ended);
    bool needs_poll() const;
    void extend_if_needed(instant now);
    void poll_if_needed(instant now);
    numbered_extension number_order(lease_order order, instant now);
    void finish(const task_run& id, failure_reason reason, effect ran,
                const std::string& detail);
    void give_up(const task_run& id, give_up_reason why, instant now,
                 duration list_age = {});
    void give_up_lapsed(instant now);
    instant max_run_end(const run& it) const;
    void release_held_results(instant now);
    void decline(const task_run& id, failure_reason reason,
                 const std::string& detail, instant now);

    const leased_runs_options options_;
    std::optional<worker_address> worker_;
    std::uint64_t worker_decision_ = 0;
    worker_time clock_{}; //!< as last received
    instant clock_updated_at_{};
    //! When orders began to get no answer; empty while they are answered.
    std::optional<instant> unanswered_since_;
    fencing_token fence_;
    std::map<task_run, run> runs_;
    std::map<task_run, held_result> held_;
    given_up_runs given_up_;
    std::map<task_run, unknown_run> unknown_runs_;
    std::uint64_t last_end_seen_ = 0;
    //! The last end whose acknowledgement the worker received.
    std::uint64_t last_end_acknowledged_ = 0;
    std::uint64_t last_extension_number_ = 0;
    std::optional<std::uint64_t> extension_in_flight_;
    std::optional<std::uint64_t> poll_in_flight_;
    instant last_extension_at_{}; //!< when the last extension was sent
    instant last_poll_at_{};   //!< when the last immediate report was requested
    instant last_report_at_{}; //!< when the last report arrived
    //! When all runs at the worker have ended if the lease is not extended.
    instant all_runs_end_at_{};
    worker_time last_lease_end_{}; //!< the highest that was sent in this life
    //! When the worker first answered that it had accepted `fence_`; counts
    //! until this table has been ready once.
    std::optional<instant> fence_accepted_;
    bool was_ready_ = false; //!< in this or an earlier life of the worker
    bool ready_ = false;
    bool last_reported_ready_ = false; //!< as last reported to the owner
    run_table_output output_;
};

} // namespace lagoonquay
