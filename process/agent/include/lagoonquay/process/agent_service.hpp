//! The agent of one upstream: starts each attempt at most once and grants the
//! upstream's slots to entries as credits.
#pragma once

#include "lagoonquay/connection/agent_slots.hpp"
#include "lagoonquay/connection/grant_pacing.hpp"
#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/process/reason_counts.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/start_guard.hpp"
#include "lagoonquay/version/member.hpp"
#include "lagoonquay/version/permit.hpp"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

class message_link;

struct agent_options
{
    agent_id id;
    incarnation run;
    domain_id domain;
    std::string address; //!< the address that entries connect to
    //! An upstream that sends no announcement for longer counts as unavailable.
    duration upstream_silence = std::chrono::seconds(2);
    duration record_retention = std::chrono::minutes(10);
    permit_policy permits = permit_policy::expire;
    //! A task that has waited this long for a free slot is returned to its
    //! entry as not run.
    duration queue_timeout = std::chrono::milliseconds(25);
    //! How long a repeatable task keeps running after the link of its entry
    //! closed, if the upstream's tasks can be stopped.
    duration orphan_grace = std::chrono::milliseconds(600);
    //! Maximum time that such a task keeps running after the last sign of its
    //! entry on that link. Longer than the silence that closes a link, so that
    //! only a run behind a silent link has less than `orphan_grace`.
    duration max_unheard_run_time = std::chrono::milliseconds(1250);
    //! Time since the start of this agent after which no task that an earlier
    //! agent process started can still run at the upstream; zero if there is no
    //! such bound.
    duration earlier_runs_timeout = duration::zero();
    //! Maximum time after a start was sent to the upstream without an answer
    //! until a run of it has ended; zero unless on_begun() is called for each
    //! start that the upstream accepts.
    duration late_run_time = duration::zero();

    friend bool operator==(const agent_options&,
                           const agent_options&) = default;
};

//! The longest stop of a task for which durations of entries allow.
constexpr duration max_covered_stop_time = std::chrono::milliseconds(600);

//! @param stop_time  maximum time that the upstream takes to stop a task.
//! @return the options, with a shorter `orphan_grace` where stops take long:
//! entries allow a fixed time for grace and stop together.
agent_options with_stop_time(agent_options options, duration stop_time);

//! Callbacks that an agent needs.
struct agent_hooks
{
    clock_hook now;
    upstream_hook call_upstream;
    //! Absent where the upstream's tasks can't be stopped.
    upstream_stop_hook stop_upstream_task = {};
};

//! Counts since the agent started.
struct agent_counts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t declined = 0;
    std::uint64_t cancelled = 0;

    friend bool operator==(const agent_counts&, const agent_counts&) = default;
};

//! Starts, queues or declines every dispatch that entries send. Thread-safe;
//! must outlive its links.
class agent_service
{
public:
    agent_service(agent_options options, agent_hooks hooks);
    ~agent_service();
    agent_service(const agent_service&) = delete;
    agent_service& operator=(const agent_service&) = delete;

    //! Serves a link that an entry opened.
    void on_link(const std::shared_ptr<message_link>& link);

    //! Stores the upstream's announcement and adjusts the number of slots.
    void announce(const upstream_announcement& announcement);

    //! Replaces the permit, unless `granted` has an older version.
    void set_permit(const permit& granted);

    //! Tells the entries that wait for this run that the upstream has accepted
    //! its start.
    void on_begun(const submission_id& submission, task_index index,
                  attempt_number attempt);

    //! Sends the grants that are due, removes expired start records and stops
    //! orphaned runs whose grace has passed. Call a few times a second.
    void tick();

    //! Returns to their entries, as not run, the tasks that have waited for
    //! `queue_timeout`. Call it several times per `queue_timeout`.
    void return_overdue_tasks();

    //! Declines all further and all waiting tasks. Running tasks continue to
    //! their end.
    void drain();

    //! @return whether a drain is complete: nothing runs, no dispatch can be in
    //! flight, and every result and the word of this are written.
    bool drained() const;

    //! @return the number of tasks that run now.
    std::uint32_t running() const;

    //! @return the member record of this agent, for control and entries.
    member self() const;

    //! @return the newest view that came with a permit.
    fleet_view view() const;

    agent_counts counts() const noexcept;

    //! @return declined dispatches by reason.
    const reason_counts& declines_by_reason() const noexcept;

    //! @return the remaining validity of the permit; zero without one.
    duration permit_left() const;

    //! @return the time since the last permit from control arrived, or since
    //! the start if none has.
    duration time_since_control() const;

    //! @return the time since the upstream's last announcement, or since the
    //! start if none has arrived.
    duration upstream_silence() const;

    //! @return the whole state as JSON.
    std::string dump() const;

private:
    struct open_link
    {
        std::shared_ptr<message_link> link;
        grant_pacing pacing;
        std::optional<hello_message> peer; //!< absent until its hello arrives
    };
    struct orphaned_run
    {
        attempt_number attempt;
        hello_message owner; //!< the entry whose link closed last
        instant since{};
    };
    struct guard_shard
    {
        explicit guard_shard(start_guard_options options) : guard(options)
        {
        }

        std::mutex mutex;
        start_guard guard;
        //! Links that wait for the result of a running task; empty for a run
        //! whose links have all closed.
        std::map<task_key, std::set<link_number>> watchers;
        //! Running repeatable tasks whose links have all closed.
        std::map<task_key, orphaned_run> orphans;
        //! Attempts of the repeatable tasks that run now.
        std::map<task_key, attempt_number> repeatable;
        //! Attempts that run now and whose start the upstream has accepted.
        std::map<task_key, attempt_number> begun;
        //! Runs that the agent stops on its own, without a cancel message.
        std::set<task_key> stopped_by_agent;
    };
    //! State of the whole process, under its own lock.
    struct agent_state
    {
        std::optional<permit> held;
        std::optional<upstream_announcement> upstream;
        instant last_announcement_at{};
        instant last_permit_at{};
        bool draining = false;
    };

    void on_messages(link_number link,
                     const std::vector<link_message>& messages);
    void on_close(link_number link);
    void close_link(link_number link, const open_link& closed);
    void on_dispatch(link_number link, const dispatch_message& dispatch);
    start_verdict try_start(link_number link, const dispatch_message& dispatch);
    void on_cancel(link_number link, const cancel_message& cancel);
    static bool give_up(guard_shard& shard, link_number link,
                        const task_key& key, attempt_number attempt);
    void on_query(link_number link, const query_message& query);
    void run(link_number link, const dispatch_message& dispatch,
             const endpoint& upstream);
    void on_result(link_number link, const dispatch_message& dispatch,
                   const task_result& reported, instant started);
    void decline(link_number link, const dispatch_message& dispatch,
                 failure_reason reason, const std::string& detail,
                 std::uint64_t credits_total = 0);
    void send_not_run(link_number link, const dispatch_message& dispatch,
                      failure_reason reason, const std::string& detail,
                      std::uint64_t credits_total);
    void start_waiting();
    void start_or_decline(const waiting_start& next);
    std::vector<waiting_start> take_waiting(const waiting_filter& chosen);
    void decline_tasks(const std::vector<waiting_start>& waiting,
                       failure_reason reason, const std::string& detail);
    void decline_waiting();
    void on_hello(link_number link, const hello_message& hello);
    std::map<link_number, open_link>
    take_superseded_links(const hello_message& hello);
    void expire_orphan_grace(const hello_message& hello);
    instant orphaned_since(const message_link& closed) const;
    std::size_t orphan_runs(link_number link, const hello_message& owner,
                            instant since);
    void add_watcher(guard_shard& shard, const task_key& key, link_number link);
    std::uint32_t count_stray_runs() const;
    static task_result result_of_stopped_run(const task_result& result);
    void stop_orphans(instant now);
    void stop_run(const task_key& key, attempt_number attempt);
    bool has_started(const dispatch_message& dispatch);
    //! Frees the slot of a task that has ended or was rejected at its start.
    //! @return the link's new credit total if it was granted credits for this,
    //! or zero.
    std::uint64_t release_slot(link_number link, const resources& need);
    void send_grant(const link_grant& totals, bool only_if_due);
    void send(link_number link, link_message message);
    void send_changed_grants();
    void send_all_grants();
    grant_message grant_for(const link_grant& totals) const;
    std::optional<upstream_announcement> permitted_upstream() const;
    bool draining() const;
    bool has_nothing_left() const;
    void tell_if_drained();
    //! The number and needs of the tasks that run or wait here.
    struct task_load
    {
        std::uint32_t tasks = 0;
        resources needs;
        std::uint64_t received = 0; //!< dispatches received on the given link
    };
    task_load load(link_number link) const;
    bool accepting(const agent_state& state) const;
    std::size_t unsent() const;
    guard_shard& shard_of(const submission_id& submission);

    const agent_options options_;
    const agent_hooks hooks_;
    const instant began_;

    mutable std::mutex agent_state_mutex_;
    agent_state agent_state_;

    mutable std::mutex grants_mutex_;
    agent_slots slots_;

    mutable std::mutex links_mutex_;
    std::map<link_number, open_link> links_;
    std::uint64_t next_link_ = 1;

    std::array<std::unique_ptr<guard_shard>, shard_count> guards_;

    std::atomic<std::uint32_t> runs_without_link_{0};
    reason_counts declines_by_reason_;
    std::atomic<std::uint64_t> started_{0};
    std::atomic<std::uint64_t> finished_{0};
    std::atomic<std::uint64_t> declined_{0};
    std::atomic<std::uint64_t> cancelled_{0};
    std::atomic<bool> has_told_drained_{false};
};

} // namespace lagoonquay
