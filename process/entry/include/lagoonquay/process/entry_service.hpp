//! The entry: accepts jobs, claims them, routes their tasks to agents and
//! collects the results into answers.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/job_admission.hpp"
#include "lagoonquay/process/live_settings.hpp"
#include "lagoonquay/process/reason_counts.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/process/stop_plan.hpp"
#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job_run.hpp"
#include "lagoonquay/version/permit.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Receives the answer to a job. Called once, from any thread.
using answer_hook = std::function<void(const job_answer&)>;

//! Receives the answer of the claim's holder, or nothing if the holder could
//! not be reached. Called once.
using forwarded_hook = std::function<void(const std::optional<job_answer>&)>;

//! Forwards a job to the entry that holds its claim. Thread-safe.
using forward_hook =
    std::function<void(const std::string& address, const job&, forwarded_hook)>;

//! What became of a caller's cancel.
enum class cancel_outcome
{
    cancelled,   //!< by the entry that holds the job, or the job has ended
    unknown,     //!< no entry has such a job
    unconfirmed, //!< the entry that holds the job can't be reached now
};

//! Receives the outcome of a cancel. Called once, from any thread.
using cancel_callback = std::function<void(cancel_outcome)>;

//! Cancels a job at the entry that holds its claim. Thread-safe.
using cancel_hook = std::function<void(const std::string& address,
                                       const submission_id&, cancel_callback)>;

//! Requests one more run of an idempotent task from the customer's retry
//! budget. @return whether the run is allowed. Thread-safe.
using retry_hook = std::function<bool(const customer_id&)>;

struct entry_options
{
    entry_id id;
    incarnation run;
    domain_id domain;
    std::string address; //!< at which other entries reach this one
    duration claim_lease = std::chrono::seconds(5);
    duration claim_margin = std::chrono::milliseconds(250); //!< for clock drift
    duration answer_retention = std::chrono::minutes(1);
    duration oldest_submission = std::chrono::minutes(5);
    duration clock_skew = std::chrono::milliseconds(500);
    //! How long an agent may take to reconnect before its tasks are given up.
    duration reconnect_timeout = std::chrono::seconds(2);
    //! Longest time from the start of a repeatable run at an agent without a
    //! link to this entry to its end: the agent's `orphan_grace`, its tick and
    //! the stop. Must be shorter than `reconnect_timeout`.
    duration orphan_run_time = std::chrono::milliseconds(750);
    //! Time after the end of a claim that could not be renewed until the runs
    //! under it are stopped. Must be shorter than `adoption_timeout`.
    duration lapse_timeout = std::chrono::seconds(1);
    //! How long an adopted job waits for the agents of earlier claims that this
    //! entry can't reach. Longer than `lapse_timeout`, and than an agent takes
    //! to notice the loss of an entry and to stop its runs.
    duration adoption_timeout = std::chrono::seconds(3);
    //! Minimum time between two attempts to claim a job that another entry
    //! holds.
    duration claim_retry_delay = std::chrono::milliseconds(250);
    //! Whether the entry is ready only once a quorum of ledger replicas accepts
    //! claims for new submissions; replicas refuse them after a restart until
    //! their fence has passed.
    bool probe_ledger = false;
    bool dated_jobs = true; //!< whether callers send a job's creation time
    permit_policy permits = permit_policy::expire;
    duration probe_period = std::chrono::seconds(1);
    //! Maximum age of a view that may prove that a queue does not exist. The
    //! view is requested twice a second, so it is older only if control or
    //! this entry is slow.
    duration max_view_age = std::chrono::milliseconds(1500);
    //! New jobs are refused while work in this process is queued for longer.
    duration max_work_delay = std::chrono::milliseconds(20);

    friend bool operator==(const entry_options&,
                           const entry_options&) = default;
};

//! External functions that an entry depends on. Called from several threads.
struct entry_hooks
{
    clock_hook now;
    wall_clock_hook wall;
    claim_hook claim;
    forward_hook forward;
    cancel_hook cancel = {}; //!< if absent, other entries can't be reached
    random_hook draw;
    retry_hook retry = {}; //!< if absent, a job gets as many retries as tasks
    //! Current queueing delay of work in this process; may be absent.
    std::function<duration()> work_delay = {};
};

//! Counts since the entry started.
struct entry_counts
{
    std::uint64_t jobs = 0;
    std::uint64_t joined = 0;
    std::uint64_t refused = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t requeued = 0;
    std::uint64_t dropped_results = 0; //!< late, duplicate or superseded
    std::uint64_t retried = 0;         //!< repeated runs of idempotent tasks
    std::uint64_t adopted = 0;   //!< jobs taken over from an earlier claim
    std::uint64_t recovered = 0; //!< attempts adopted from an agent's status
    //! Tasks kept with a lost agent because their start may begin later.
    std::uint64_t held_moves = 0;

    friend bool operator==(const entry_counts&, const entry_counts&) = default;
};

//! A job that has no answer yet, for the log of a stop.
struct unanswered_job
{
    submission_id submission;
    std::string_view stage; //!< stable name in lower case
    duration age{};         //!< since it was accepted
    //! Time from the stop signal to its acceptance; negative before the signal.
    duration accepted_after_stop{};
    duration time_left{};       //!< of its time limit
    std::size_t dispatched = 0; //!< tasks that an agent may have
    std::size_t waiters = 0;    //!< requests that wait for the answer

    friend bool operator==(const unanswered_job&,
                           const unanswered_job&) = default;
};

//! Progress of a job.
struct job_progress
{
    std::size_t tasks = 0;
    std::size_t finished = 0;
    std::optional<job_answer> answer;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

//! Owns the state of all jobs at this entry, from acceptance to the answer.
//! Thread-safe; must outlive its links.
class entry_service
{
public:
    entry_service(entry_options options, entry_hooks hooks);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    //! Submits a job. A resubmission with the same content gets the same
    //! answer.
    //! @param done  receives the complete answer, or the failure or refusal.
    void submit(const job& submitted, answer_hook done);

    //! Cancels a job at the entry that holds it, this one or another.
    void cancel(const submission_id& submission, const cancel_callback& done);

    //! Cancels a job of this entry. The agents are told until its tasks have
    //! ended. @return false if this entry has no such job.
    bool cancel_here(const submission_id& submission);

    //! @return the progress of a job, or nothing if this entry has no such job.
    std::optional<job_progress> progress(const submission_id& submission);

    //! Registers an open link to an agent and starts it.
    void on_link(const agent_id& agent,
                 const std::shared_ptr<message_link>& link);

    //! Replaces the permit, unless its view is older than the current one, and
    //! applies the settings of its view.
    void set_permit(const permit& granted);

    //! Updates the list of the fleet's agents and links to a subset of them.
    //! @param entries  entries of the fleet, this one included.
    void learn(const std::vector<member>& agents, std::size_t entries);

    //! Handles deadlines, renewals and retention. Call a few times a second.
    void tick();

    //! Makes the entry not ready, so that callers move to another one. Jobs
    //! that still arrive are accepted as far as the plan allows.
    void mark_not_ready(const stop_plan& plan);

    //! Refuses new jobs from now on; accepted ones continue.
    void drain();

    //! Answers every job that has no answer yet, truly: as a refusal if nothing
    //! of it was sent to an agent, else as of unknown effect. Runs that may be
    //! repeated elsewhere are stopped. Call after drain().
    void answer_rest();

    //! @return whether callers should send jobs here.
    bool ready() const;

    //! @return the claims that this entry holds, each with its remaining lease,
    //! and those in flight, with a whole one.
    std::vector<claim_request> held_claims();

    //! @return the number of jobs without an answer.
    std::size_t unanswered();

    //! @return the time until the last of these jobs is over at the latest.
    duration longest_time_left();

    //! @return some jobs without an answer, `most` at most.
    std::vector<unanswered_job> unanswered_jobs(std::size_t most);

    agent_table& agents() noexcept;
    fleet_view view() const;
    entry_counts counts() const noexcept;

    //! @return answers and refusals by reason.
    const reason_counts& answers_by_reason() const noexcept;

    //! @return the time that tasks were queued here before dispatch.
    latency_summary waits() const;

    //! @return the remaining lifetime of the permit; zero without one.
    duration permit_left() const;

    //! Records that a majority of control replicas has answered, possibly
    //! without the newest view.
    void record_control_contact();

    //! @return the time since the last contact with control, or since the start
    //! if there was none.
    duration time_since_control() const;

    //! @return whether a majority of control has answered within the duration
    //! of a permit. An entry that is cut off loses this contact.
    bool is_in_touch_with_control() const;

    //! @return the time since the current view of the fleet was last confirmed,
    //! or since the start if there is no view.
    duration view_age() const;

    //! @return whether the view is recent enough to prove that a queue does not
    //! exist.
    bool is_view_current() const;

    //! @return whether the view is stale although control answers: a change
    //! that this entry has not received may forbid it to accept new jobs.
    bool is_view_stale() const;

    //! @return a summary of the state as JSON.
    std::string dump();

private:
    struct job_state;
    using job_pointer = std::shared_ptr<job_state>;
    using linked_runs = std::map<agent_id, incarnation>;

    // entry_service.cpp: acceptance
    bool takes_jobs() const;
    //! @return whether no stop signal keeps the entry from taking the job.
    bool stop_allows(const job& submitted) const;
    bool is_stopping() const;
    std::optional<instant> stop_signal_at() const;
    std::optional<job_answer> refuse_early(const job& submitted) const;
    bool join(const job& submitted, content_digest digest, answer_hook& done);
    job_pointer add(const job& submitted, content_digest digest,
                    answer_hook& done);
    job_pointer find(const submission_id& submission);
    //! Calls `use` with the job under its shard's lock.
    //! @return false, without calling `use`, if the job has been removed.
    template <typename Use>
    bool with_job(const job_pointer& state, Use use);
    //! @return the jobs without an answer. A job may be answered before the
    //! caller uses it.
    std::vector<job_pointer> open_jobs();
    //! Removes an answered job from the open ones.
    void remove_open(const job_pointer& state);
    void probe_ledger(instant now);

    // entry_links.cpp: links to agents
    void on_messages(const agent_id& agent,
                     const std::vector<link_message>& messages);
    void on_grant(const agent_id& agent, const grant_message& grant);
    void on_close(const agent_id& agent, const message_link* closed);
    std::shared_ptr<const linked_runs> linked_agents();
    std::shared_ptr<const linked_runs> cached_links();
    agent_reach linked_reach();
    void reset_link_caches();

    // entry_claims.cpp: claims, renewals and forwarding
    void request_claim(const job_pointer& state, claim_round confirm);
    void on_claim(const job_pointer& state, claim_round asked,
                  const claim_outcome& outcome);
    void on_held(const job_pointer& state, const claim_outcome& outcome);
    std::optional<job_answer> refuse_admission(const job_pointer& state,
                                               effect ran);
    void on_not_held(const job_pointer& state, const claim_outcome& outcome);
    void release_claim(const job_pointer& state);
    claim_request release_request(const job_state& state) const;
    void forward(const job_pointer& state, const std::string& address);
    void on_forwarded(const job_pointer& state,
                      const std::optional<job_answer>& answer);
    void renew(const job_pointer& state);
    void on_renewed(const job_pointer& state, const claim_request& asked,
                    const claim_outcome& outcome);
    void maintain_claims(instant now);
    claim_request_options request_for(const job_state& state) const;
    bool may_lack_record(const job_state& state,
                         const claim_outcome& outcome) const;
    claim_round round_after_loss(const claim_outcome& outcome) const;

    // entry_dispatch.cpp: from the queue to an agent and back
    void enqueue_waiting(const job_pointer& state);
    bool is_waiting(const task_key& key);
    void enqueue(const job_state& state, const std::vector<task_index>& tasks);
    void enqueue_again(const job_state& state, const attempt_key& key,
                       failure_reason reason);
    static task_to_queue describe_task(const job_state& state,
                                       task_index index);
    std::optional<dispatch_message> begin_dispatch(const task_key& key,
                                                   const agent_id& agent,
                                                   const taken_credit& credit);
    void on_result(const agent_id& agent, const result_message& it);
    bool record_result(const job_pointer& state, const attempt_key& key,
                       const task_result& result, attempt_end how);
    bool grant_retry(const job_pointer& state, const task_result& result) const;

    // entry_adoption.cpp: jobs of an earlier claim
    void link_earlier_agents(const job_pointer& state);
    void query_earlier_agents(const job_pointer& state);
    static query_message query_for(const job_state& state,
                                   const agent_run_id& agent);
    std::set<agent_id> agents_that_accept_again(const job_pointer& state,
                                                const linked_runs& links);
    void finish_adoption(const job_pointer& state);
    std::set<agent_run_id> drained_agents(const job_pointer& state);
    //! What is known of the agents of an earlier claim.
    struct agents_heard_of
    {
        std::shared_ptr<const linked_runs> links;
        std::set<agent_id> accepting; //!< with another process
        std::set<agent_run_id> drained;
    };
    static void lose_silent_agents(job_state& state,
                                   const agents_heard_of& heard, instant now);
    bool may_start_late(const job_state& state, instant now);
    void release_held(const job_pointer& state, instant now);

    // entry_recovery.cpp: lost links, and what agents tell
    void query_agent(const agent_run_id& agent);
    void on_status(const agent_id& agent, const status_message& it);
    report_outcome apply(job_state& state, const agent_run_id& agent,
                         const status_item& it, const attempt_start& start);
    void note_begun(const job_pointer& state, const agent_run_id& agent,
                    const std::vector<begun_attempt>& begun);
    void record_finished(const job_pointer& state, const status_message& it);
    void check_lost(instant now);
    struct lost_attempt;
    void log_held(const job_state& state, const lost_attempt& it,
                  instant now) const;
    std::vector<lost_attempt> lost_attempts(job_state& state,
                                            const linked_runs& links,
                                            instant now) const;

    // entry_cancels.cpp: cancels by callers
    void cancel_at_holder(const submission_id& submission,
                          cancel_outcome otherwise,
                          const cancel_callback& done);
    void cancel_at(const std::string& address, const submission_id& submission,
                   const cancel_callback& done) const;
    void repeat_cancels(instant now);

    // entry_stops.cpp: runs of jobs that this entry may not run any longer
    static std::vector<attempt_key> stoppable_runs(const job_state& state);
    void give_up_runs(const job_pointer& state,
                      const std::vector<attempt_key>& runs);
    void stop_lapsed(instant now);
    static bool is_untouched(const job_state& it);
    bool hand_back(const job_pointer& state);
    void give_up(const job_pointer& state);

    // entry_answers.cpp: answers and deadlines
    void finish_if_complete(const job_pointer& state);
    void close_claim(const job_pointer& state, const claim_request& asked,
                     const job_answer& answer);
    void publish(const job_pointer& state, const job_answer& answer);
    void refuse(const job_pointer& state, const job_answer& answer);
    void answer_and_remove(const job_pointer& state, const job_answer& answer);
    void log_answered(const job_pointer& state, const job_answer& answer,
                      std::string_view by) const;
    void expire_jobs(instant now);
    void expire_answers(instant now);
    effect waiting_effect(const job_state& state, instant now) const;

    const entry_options options_;
    const entry_hooks hooks_;

    mutable std::mutex permit_mutex_;
    std::optional<permit> permit_;
    const instant started_at_ = hooks_.now();
    std::optional<instant> last_control_contact_;

    live_settings settings_;
    dispatcher dispatcher_;
    job_admission admission_;
    sharded_map<submission_id, job_pointer> jobs_;
    //! The subset of jobs_ without an answer. Kept apart because jobs_ mostly
    //! contains answered jobs, which the periodic checks need not visit.
    sharded_map<submission_id, job_pointer> open_;
    //! Agents that have reported their incarnation on an open link.
    sharded_map<agent_id, incarnation> linked_;
    std::mutex links_mutex_;
    //! All that control lists, linked or not.
    std::shared_ptr<const std::vector<member>> listed_;
    //! Cached copies of linked_; reset when it changes.
    std::shared_ptr<const linked_runs> links_;
    std::optional<agent_reach> reach_;

    instant answers_expired_at_{};

    std::mutex probe_mutex_;
    std::optional<instant> probe_sent_;
    std::atomic<bool> ledger_ready_{false};
    std::atomic<std::uint64_t> last_claim_ask_{0};

    reason_counts answers_by_reason_;

    mutable std::mutex stop_mutex_;
    stop_plan stop_plan_;
    std::optional<instant> stop_signal_at_; //!< set once
    std::atomic<bool> draining_{false};
    std::atomic<std::uint64_t> accepted_{0};
    std::atomic<std::uint64_t> joined_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<std::uint64_t> completed_{0};
    std::atomic<std::uint64_t> failed_{0};
    std::atomic<std::uint64_t> requeued_{0};
    std::atomic<std::uint64_t> dropped_{0};
    std::atomic<std::uint64_t> retried_{0};
    std::atomic<std::uint64_t> adopted_{0};
    std::atomic<std::uint64_t> recovered_{0};
    std::atomic<std::uint64_t> held_moves_{0};
};

} // namespace lagoonquay
