//! Sends waiting tasks of an entry to agents as credits allow.
#pragma once

#include "lagoonquay/process/agent_table.hpp"
#include "lagoonquay/process/latency_statistics.hpp"
#include "lagoonquay/process/retry_budget.hpp"
#include "lagoonquay/process/run_times.hpp"
#include "lagoonquay/process/task_queue.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/job.hpp"
#include "lagoonquay/request/routing.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! What a dispatcher needs from the entry. Each may be called from any thread;
//! only `weight` is called under a lock.
struct dispatcher_hooks
{
    clock_hook now;
    route_hook route;
    weight_hook weight;
    random_hook draw;
    //! @return whether the task still waits.
    std::function<bool(const task_key&)> waiting;
    //! Records the dispatch. @return its message if the task still waits.
    std::function<std::optional<dispatch_message>(
        const task_key&, const agent_id&, const taken_credit&)>
        begin;
};

struct dispatcher_options
{
    //! Tasks that may be passed over because they fit nowhere at present.
    std::size_t lookahead = 64;
    //! Of these, the tasks that one agent alone is looked at for.
    std::size_t agent_lookahead = 8;
    //! A task that was passed over for this long gets an agent kept free.
    duration hold_after = std::chrono::milliseconds(250);
    //! A job without an aim is due after this many times its expected run time
    //! alone.
    std::uint32_t stretch = 4;
    retry_options retries;
    run_times_options runs;

    friend bool operator==(const dispatcher_options&,
                           const dispatcher_options&) = default;
};

//! A task as the entry hands it over.
struct task_to_queue
{
    customer_id customer;
    task_key key;
    std::string kind;
    resources need;
    duration declared_run{};
    instant accepted{}; //!< when the job was; its due time counts from then
    instant deadline{};
    job_aim aim;

    friend bool operator==(const task_to_queue&,
                           const task_to_queue&) = default;
};

//! Queue, agents and credits of an entry. Thread-safe.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_hooks hooks,
                        dispatcher_options options = {});

    //! Adds the tasks of one job; call pump() afterwards.
    void enqueue(const std::vector<task_to_queue>& job_tasks);

    //! Adds a task that `declined` proved not to have started, once its retry
    //! is due.
    //! @param moves  how often it was declined, this time included.
    void enqueue_again(const task_to_queue& it, const agent_id& declined,
                       std::uint32_t moves);

    //! Adds a task that the agent `full` handed back for want of room. It keeps
    //! its place and costs nothing: what the agent told keeps others away.
    void enqueue_elsewhere(const task_to_queue& it, const agent_id& full);

    //! Dispatches until the queue is empty or no agent has room.
    void pump();

    //! Dispatches what waits to an agent that has told of itself. All others
    //! are looked at too if tasks have been added since they were.
    void pump(const agent_id& changed);

    //! Takes up retries that are due.
    void tick();

    //! Takes over what an agent says of itself.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! Ends one dispatch, and learns from its result.
    void finish(const agent_id& agent, const result_message& result);

    //! @return the load that a new job of the customer would meet.
    queue_load load_of(const customer_id& customer);

    //! @return whether an agent is kept free for a large task.
    bool keeps_agent_free();

    agent_table& agents() noexcept;
    run_times& runs() noexcept;
    std::size_t queued() const noexcept;
    std::uint64_t dispatched() const noexcept;

    //! @return how long tasks waited before they were dispatched.
    latency_summary waits() const;

private:
    enum class step
    {
        sent,
        no_room,
        gone,
        stale, //!< the candidates are out of date
    };
    //! An agent kept free for a task that fits nowhere at present.
    struct hold
    {
        task_key key;
        agent_id agent;
        instant until{};
    };
    //! One pass over the queue.
    struct pass
    {
        instant now{};
        std::size_t lookahead = 0;
        std::vector<route_candidate> candidates;
        std::vector<queued_task> passed_over;
    };

    queued_task to_queued(const task_to_queue& it, instant since);
    void set_start_by(std::vector<queued_task>& queued,
                      const task_to_queue& of_job);
    void run_passes(const std::optional<agent_id>& only);
    bool run_pass(const std::optional<agent_id>& only);
    std::vector<route_candidate> candidates(const std::optional<agent_id>& only,
                                            instant now);
    step dispatch_one(const queued_task& next, pass& state);
    std::optional<std::size_t> choose(const queued_task& next,
                                      const pass& state);
    void send(const queued_task& next, route_candidate& chosen,
              const taken_credit& credit, dispatch_message message);
    void keep_free_for(const queued_task& next, instant now);
    std::optional<hold> held(instant now);
    void drop_hold(const task_key& key);
    void learn(const agent_id& agent, const open_dispatch& ended,
               const result_message& result);

    const dispatcher_hooks hooks_;
    const dispatcher_options options_;
    agent_table agents_;
    task_queue queue_;
    retry_budget retries_;
    run_times runs_;
    std::mutex delayed_mutex_;
    std::multimap<instant, queued_task> delayed_;
    std::mutex hold_mutex_;
    std::optional<hold> hold_;
    std::atomic<std::uint64_t> credit_epoch_{0};
    std::atomic<bool> tasks_added_{false}; //!< since all agents were looked at
    std::atomic<std::uint64_t> dispatched_{0};
    latency_statistics waits_;
};

} // namespace lagoonquay
