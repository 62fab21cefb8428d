//! Dispatches the waiting tasks of an entry to agents, as credits allow.
#pragma once

#include "lagoonquay/process/agent_table.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/retry_budget.hpp"
#include "lagoonquay/process/run_times.hpp"
#include "lagoonquay/process/task_queue.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/job.hpp"
#include "lagoonquay/request/routing.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! Callbacks of a dispatcher into its entry. Each may be called from any
//! thread; only `weight` is called while a lock is held.
struct dispatcher_hooks
{
    clock_hook now;
    route_hook route;
    weight_hook weight;
    random_hook draw;
    //! @return whether the task still waits for a dispatch.
    std::function<bool(const task_key&)> waiting;
    //! Records the dispatch.
    //! @return its message, but for what the dispatcher fills in: `priority`,
    //! `start_by` and `expected_run`; nothing if the task no longer waits.
    std::function<std::optional<dispatch_message>(
        const task_key&, const agent_id&, const taken_credit&)>
        begin;
};

struct dispatcher_options
{
    //! Tasks of one priority that fit no agent at present and that one pass
    //! may skip over.
    std::size_t lookahead = 64;
    //! The same limit for a pass over a single agent.
    std::size_t agent_lookahead = 8;
    //! Tasks of one priority and of services that no candidate serves, and
    //! that one pass may skip over besides.
    std::size_t unserved_lookahead = 1024;
    //! A skipped task that has waited this long gets an agent reserved.
    duration reserve_after = std::chrono::milliseconds(250);
    //! A job without an aim is due after this multiple of the run time that it
    //! would have with all usable slots to itself.
    std::uint32_t stretch = 4;
    retry_options retries;
    run_times_options runs;

    friend bool operator==(const dispatcher_options&,
                           const dispatcher_options&) = default;
};

//! A task as the entry adds it to the queue.
struct task_to_queue
{
    customer_id customer;
    task_key key;
    std::string kind;
    std::uint32_t priority = 0; //!< 0 goes first
    resources need;
    service_id service; //!< whose workers may run it; empty for any
    duration declared_run{};
    //! When its job was accepted; the due time counts from then.
    instant accepted{};
    instant deadline{};
    job_aim aim;

    friend bool operator==(const task_to_queue&,
                           const task_to_queue&) = default;
};

//! Task queue, agents, credits and retries of an entry. Thread-safe.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_hooks hooks,
                        dispatcher_options options = {});

    //! Adds the tasks of one job; call pump() afterwards.
    void enqueue(const std::vector<task_to_queue>& job_tasks);

    //! Adds a task again that an agent declined with proof that it was not
    //! started. It is queued after the delay that the retry budget sets.
    //! @param declined  the agent that declined it; avoided if another fits.
    //! @param moves  how often the task was declined, this time included.
    void enqueue_again(const task_to_queue& added, const agent_id& declined,
                       std::uint32_t moves);

    //! Adds a task again that an agent returned because it had no room. It
    //! keeps its place in the queue and is not charged to the retry budget: the
    //! load that the agent reported keeps further tasks away from it.
    //! @param full  the agent that returned it; avoided if another fits.
    void enqueue_returned(const task_to_queue& added, const agent_id& full);

    //! Dispatches until the queue is empty or no agent can take a waiting task.
    void pump();

    //! Dispatches waiting tasks to one agent whose state has changed. Considers
    //! all agents if tasks have been added since the last pump().
    void pump(const agent_id& changed);

    //! Queues the retries that are due and dispatches. Call periodically.
    void tick();

    //! Records the credits, load and capacity in an agent's grant; call pump()
    //! afterwards.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! Ends one dispatch and updates run times and agent health from its
    //! result; call pump() afterwards.
    void finish(const agent_id& agent, const result_message& result);

    //! @param service  whose workers the job may use; empty for any.
    //! @return the queued work and the customer's share of the slots, as a new
    //! job of the customer and the priority would find them.
    queue_load load_of(const customer_id& customer, const service_id& service,
                       std::uint32_t priority);

    //! @return whether an agent is reserved for a large task.
    bool has_reserved_agent();

    agent_table& agents() noexcept;
    run_times& runs() noexcept;
    std::size_t queued() const noexcept;
    std::uint64_t dispatched() const noexcept;

    //! @return the distribution of the waits from queueing to dispatch.
    latency_summary waits() const;

private:
    enum class dispatch_outcome
    {
        sent,
        no_room,
        gone,
        stale, //!< the candidates are out of date
    };
    //! An agent reserved for a task that fits no agent at present.
    struct reservation
    {
        task_key key;
        agent_id agent;
        instant until{};
    };
    //! Tasks of one priority that a pass has skipped.
    struct skip_count
    {
        std::size_t all = 0;
        std::size_t unserved = 0; //!< no candidate serves them
    };
    //! One pass over the queue.
    struct queue_pass
    {
        instant now{};
        std::size_t lookahead = 0;
        std::vector<route_candidate> candidates;
        std::vector<queued_task> skipped;
        std::array<skip_count, lowest_priority + 1> counts{}; //!< by priority
        closed_priorities closed; //!< of which no more may be skipped
    };

    queued_task to_queued(const task_to_queue& added, instant since);
    void set_start_by(std::vector<queued_task>& queued,
                      const task_to_queue& of_job);
    void run_passes(const std::optional<agent_id>& only);
    bool run_pass(const std::optional<agent_id>& only);
    void skip(queued_task passed_over, queue_pass& state) const;
    std::vector<route_candidate> candidates(const std::optional<agent_id>& only,
                                            instant now);
    dispatch_outcome dispatch_one(const queued_task& next, queue_pass& state);
    std::optional<std::size_t> choose(const queued_task& next,
                                      const queue_pass& state);
    void send(const queued_task& next, route_candidate& chosen,
              const taken_credit& credit, dispatch_message message);
    void reserve_agent_for(const queued_task& next, instant now);
    std::optional<reservation> current_reservation(instant now);
    void drop_reservation(const task_key& key);
    void record_result(const agent_id& agent, const open_dispatch& ended,
                       const result_message& result);

    const dispatcher_hooks hooks_;
    const dispatcher_options options_;
    agent_table agents_;
    task_queue queue_;
    retry_budget retries_;
    run_times runs_;
    std::mutex delayed_mutex_;
    std::multimap<instant, queued_task> delayed_;
    std::mutex reservation_mutex_;
    std::optional<reservation> reservation_;
    std::atomic<std::uint64_t> credit_epoch_{0};
    //! Tasks were added since the last pump() over all agents.
    std::atomic<bool> tasks_added_{false};
    std::atomic<std::uint64_t> dispatched_{0};
    latency_statistics waits_;
};

} // namespace lagoonquay
