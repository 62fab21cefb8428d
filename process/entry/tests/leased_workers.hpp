//! Workers with leased runs behind the agents of a fake fleet.
#pragma once

#include "fake_fleet.hpp"
#include "fake_lease_worker.hpp"
#include "lagoonquay/process/leased_runs.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Faults of workers and of the messages between agents and workers, in percent
//! of the messages. Periods count for each worker; zero for none.
struct worker_faults
{
    int answers_lost = 0;
    int answers_delayed = 0; //!< by up to 150 ms
    int orders_delayed = 0;  //!< by up to 30 ms
    int orders_late = 0;     //!< by up to `max_lateness`, without an answer
    duration max_lateness = std::chrono::seconds(3);
    duration crash_period{};
    duration max_gap = std::chrono::seconds(1); //!< between two lives
    int new_ids = 50;              //!< share of the lives that have another id
    worker_time max_first_clock{}; //!< of each life after the first
    duration mute_period{};        //!< between spans without any answer
    duration max_mute = std::chrono::seconds(2);
};

struct leased_workers_options
{
    std::uint64_t seed = 1;
    worker_faults faults = {};
    leased_runs_options leases = {};
    duration heartbeat_period = std::chrono::milliseconds(1500);
    std::uint32_t slots = 4;
    duration max_stop_time = std::chrono::milliseconds(50);
    bool tells_begun = true; //!< false as agents of an earlier version
};

enum class order_kind
{
    start,
    stop,
    extend, //!< has no run
};

//! What happens to one order.
struct order_fate
{
    duration delay{}; //!< until it is carried out
    bool answer_lost = false;
    duration answer_delay{};
    bool reset = false; //!< the sender learns at once that an answer is lost
};

//! A run of a task at a worker.
struct worker_run
{
    task_run run;
    std::size_t agent = 0;
    std::string worker; //!< its id
    worker_life life;
    std::uint64_t process = 0; //!< of the agent, that ordered the start
    instant began{};
    std::optional<instant> ended{};
    std::optional<run_end> how{}; //!< absent while it goes on, and at a crash
    //! The order was sent to an earlier life by an earlier process of the
    //! agent, and no later order was carried out in this life before it.
    bool is_first_order_of_next_life = false;
};

//! Checks that no task runs twice at the same time, whatever entries and
//! agents assume. A worker outlives the processes of its agent.
class leased_workers
{
public:
    //! @param fleet  may be constructed later than this object, with hooks
    //! that attach() has set.
    leased_workers(fake_fleet& fleet, leased_workers_options options);
    ~leased_workers();
    leased_workers(const leased_workers&) = delete;
    leased_workers& operator=(const leased_workers&) = delete;

    void attach(fake_fleet_hooks& hooks);

    //! From now on workers and messages have no faults. Late orders on their
    //! way still arrive.
    void end_faults();
    //! Ends the worker's life; the next begins after `gap`, with a drawn clock
    //! unless one is given.
    void crash(std::size_t agent, duration gap, bool new_id,
               std::optional<worker_time> first_clock = {});
    //! The worker reports to the agent's process, beside its heartbeats.
    void report(std::size_t agent);
    //! The agent's process stops all runs at its worker.
    void stop_runs(std::size_t agent);
    //! The worker carries out an order with a token that is higher by `excess`.
    void raise_fence(std::size_t agent, std::uint64_t excess);
    //! The worker answers nothing until `span` from now.
    void mute(std::size_t agent, duration span);

    //! Decides on an order in place of the rates; without a value they decide.
    std::function<std::optional<order_fate>(std::size_t agent, order_kind,
                                            const task_run&)>
        on_order;
    //! The time that a run works; 50 ms if empty.
    std::function<duration(const task_run&)> work_time;

    fake_lease_worker& worker(std::size_t agent);
    //! Descriptions of each two runs of one task that went on at the same
    //! time. The record of the fleet has them as violations too.
    const std::vector<std::string>& overlaps() const noexcept;
    //! @return the overlaps with a start that was the first order of a next
    //! life. They are no violations: neither token nor list can prevent them.
    std::uint64_t open_cases() const noexcept;
    //! Descriptions of the runs of an earlier process of an agent that went on
    //! when the next one announced a worker that takes tasks, or that began
    //! after that in the same life. Without first orders of a next life.
    const std::vector<std::string>& earlier_runs() const noexcept;
    std::uint64_t began() const noexcept;
    std::uint64_t crashes() const noexcept;

private:
    struct host;
    struct sender;
    using run_pointer = std::shared_ptr<worker_run>;

    fake_fleet_hooks::agent_upstream begin(std::size_t agent,
                                           const process_pointer& process);
    void end_process(std::size_t agent);
    void announce(std::size_t agent);
    void tell_begun(std::size_t agent, const task_run& run);
    void tick(std::size_t agent, const process_pointer& process);
    void heartbeat(std::size_t agent);
    void on_report(std::size_t agent, const worker_address& sent,
                   worker_time clock);
    void ask_reported(std::size_t agent);
    void on_answer(std::size_t agent, const worker_address& asked,
                   const order_reply& reply);
    void plan_faults(std::size_t agent);
    void every(duration period, const std::function<void()>& call);
    void begin_life(std::size_t agent, std::optional<worker_time> first_clock);
    worker_hooks worker_calls(std::size_t agent, const sender& from);
    template <typename Reply>
    void exchange(const sender& from, const worker_address& to,
                  const order_fate& fate, duration timeout,
                  std::function<void(const Reply&)> done,
                  std::function<void(std::function<void(Reply)>)> execute);
    order_fate fate_of(std::size_t agent, order_kind kind, const task_run& run);
    void note_begin(std::size_t agent, const task_run& run);
    void note_end(std::size_t agent, const task_run& run,
                  std::optional<run_end> how);
    void extend(std::size_t agent, worker_life life, const lease_order& order,
                const std::function<void(lease_reply)>& answer);
    void check_earlier_runs(std::size_t agent);
    void note_order(const sender& from, const worker_address& to,
                    fencing_token token);
    void report_overlap(const worker_run& first, const worker_run& second);
    std::string describe(const worker_run& it) const;
    std::uint64_t draw(std::uint64_t bound);
    bool chance(int percent);
    duration draw_up_to(duration span);

    fake_fleet& fleet_;
    const leased_workers_options options_;
    worker_faults faults_;
    std::mt19937_64 random_;
    std::map<std::size_t, std::unique_ptr<host>> hosts_;
    std::map<task_key, std::vector<run_pointer>> running_;
    //! Pairs of runs that overlapped, to be reported once both have ended.
    std::vector<std::pair<run_pointer, run_pointer>> overlapping_;
    std::vector<std::string> overlaps_;
    std::vector<std::string> earlier_runs_;
    std::uint64_t open_cases_ = 0;
    std::uint64_t began_ = 0;
    std::uint64_t crashes_ = 0;
};

} // namespace lagoonquay
