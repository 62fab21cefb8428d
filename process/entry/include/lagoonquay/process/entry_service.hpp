//! The entry: takes jobs, claims them, routes their tasks, gathers answers.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/job_admission.hpp"
#include "lagoonquay/process/live_settings.hpp"
#include "lagoonquay/process/reason_counts.hpp"
#include "lagoonquay/process/sharded_map.hpp"
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
#include <vector>

namespace lagoonquay
{

//! Gets the answer to a job once, from any thread.
using answer_hook = std::function<void(const job_answer&)>;

//! Gets the holder's answer once, or nothing if it could not be asked.
using forwarded_hook = std::function<void(const std::optional<job_answer>&)>;

//! Hands a job to the entry that holds its claim. Thread-safe.
using forward_hook =
    std::function<void(const std::string& address, const job&, forwarded_hook)>;

//! Asks the retry budget for one more run of an idempotent task. Thread-safe.
using retry_hook = std::function<bool(const customer_id&)>;

struct entry_options
{
    entry_id id;
    incarnation run;
    domain_id domain;
    std::string address; //!< where other entries reach this one
    duration claim_lease = std::chrono::seconds(5);
    duration claim_margin = std::chrono::milliseconds(250); //!< clock drift
    duration answer_retention = std::chrono::minutes(1);
    duration oldest_submission = std::chrono::minutes(5);
    duration clock_skew = std::chrono::milliseconds(500);
    //! How long a lost agent is waited for with its tasks.
    duration link_grace = std::chrono::seconds(2);
    //! Least time between two tries to claim what another entry holds.
    duration claim_retry = std::chrono::milliseconds(250);
    //! Whether readiness waits for a quorum of ledger replicas past its fence.
    bool probe_ledger = false;
    bool dated_jobs = true; //!< whether callers tell when a job was created
    permit_policy permits = permit_policy::expire;
    duration probe_period = std::chrono::seconds(1);
    //! Oldest view that shows what is not there. It is asked for twice a
    //! second, so it is older only if control or this entry lags.
    duration view_limit = std::chrono::milliseconds(1500);
    //! New jobs are refused while work waits longer for its turn.
    duration longest_work_delay = std::chrono::milliseconds(20);

    friend bool operator==(const entry_options&,
                           const entry_options&) = default;
};

//! What an entry needs from outside.
struct entry_hooks
{
    clock_hook now;
    wall_clock_hook wall;
    claim_hook claim;
    forward_hook forward;
    random_hook draw;
    retry_hook retry = {}; //!< absent: one more run for each task of a job
    //! For how long work waits for its turn in this process; may be absent.
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
    std::uint64_t dropped_results = 0; //!< late, doubled or crossed
    std::uint64_t retried = 0;         //!< runs of idempotent tasks again
    std::uint64_t adopted = 0;         //!< jobs taken over from other claims
    std::uint64_t recovered = 0;       //!< tasks settled by an agent's status

    friend bool operator==(const entry_counts&, const entry_counts&) = default;
};

//! How far a job is.
struct job_progress
{
    std::size_t tasks = 0;
    std::size_t finished = 0;
    std::optional<job_answer> answer;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

//! Decides on every job. Thread-safe; must outlive its links.
class entry_service
{
public:
    entry_service(entry_options options, entry_hooks hooks);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    //! Takes a job; `done` gets its whole answer or its failure.
    void submit(const job& submitted, answer_hook done);

    //! Cancels a job. @return false if it is not known here.
    bool cancel(const submission_id& submission);

    //! @return how far a job is, if it is known here.
    std::optional<job_progress> progress(const submission_id& submission);

    //! Takes over an open link to an agent.
    void on_link(const agent_id& agent,
                 const std::shared_ptr<message_link>& link);

    //! Replaces the permit.
    void hold(const permit& granted);

    //! Takes over the agents of the fleet and links to a subset of them.
    void learn(const std::vector<member>& agents);

    //! Handles deadlines, renewals and retention. Call a few times a second.
    void tick();

    //! Is no longer ready, so that callers go elsewhere; goes on to take jobs.
    void leave();

    //! Takes no new job; accepted ones go on.
    void drain();

    //! @return whether callers should send jobs here.
    bool ready() const;

    //! @return the claims that this entry holds, with what is left of each.
    std::vector<claim_request> held_claims();

    //! @return jobs without an answer yet.
    std::size_t unanswered();

    agent_table& agents() noexcept;
    fleet_view view() const;
    entry_counts counts() const noexcept;

    //! @return answers and refusals by reason.
    const reason_counts& answers_by_reason() const noexcept;

    //! @return how long tasks waited here before they were dispatched.
    latency_summary waits() const;

    //! @return what is left of the permit; zero without one.
    duration permit_left() const;

    //! A majority of control has answered, perhaps without the newest view.
    void note_control();

    //! @return the time since control was heard; since the start if it never
    //! was.
    duration control_silence() const;

    //! @return for how long the fleet's state that decisions rest on has not
    //! been confirmed; the time since the start without any.
    duration view_age() const;

    //! @return whether the view is young enough to say that a queue is not
    //! there.
    bool view_confirmed() const;

    //! @return whether control is heard, but what this entry knows is old: a
    //! change may be in force by which a new job is not this entry's to take.
    bool view_lags() const;

    //! @return the whole state as JSON.
    std::string dump();

private:
    struct job_state;
    using job_pointer = std::shared_ptr<job_state>;
    using linked_runs = std::map<agent_id, incarnation>;

    // entry_service.cpp: acceptance
    bool takes_jobs() const;
    std::optional<job_answer> refuse_early(const job& submitted) const;
    bool join(const job& submitted, content_digest digest, answer_hook& done);
    job_pointer add(const job& submitted, content_digest digest,
                    answer_hook& done);
    job_pointer find(const submission_id& submission);
    //! Calls `use` with the job under its shard's lock.
    //! @return false if the job is no longer here; `use` is not called then.
    template <typename Use>
    bool with_job(const job_pointer& state, Use use);
    //! @return the jobs without an answer; one may get it meanwhile.
    std::vector<job_pointer> open_jobs();
    //! Takes a job with an answer off the open ones.
    void end_open(const job_pointer& state);
    void probe_ledger(instant now);

    // entry_links.cpp: links to agents
    void on_messages(const agent_id& agent,
                     const std::vector<link_message>& messages);
    void on_grant(const agent_id& agent, const grant_message& grant);
    void on_close(const agent_id& agent);
    std::shared_ptr<const linked_runs> linked();
    std::shared_ptr<const linked_runs> copy_links();
    agent_reach linked_reach();
    void forget_links();

    // entry_claims.cpp: claims, renewals and forwarding
    void ask_claim(const job_pointer& state, claim_round confirm);
    void on_claim(const job_pointer& state, claim_round asked,
                  const claim_outcome& outcome);
    void on_held(const job_pointer& state, const claim_outcome& outcome);
    std::optional<job_answer> refuse_admission(const job_pointer& state);
    void on_not_held(const job_pointer& state, const claim_outcome& outcome);
    void release_claim(const job_pointer& state);
    void forward(const job_pointer& state, const std::string& address);
    void on_forwarded(const job_pointer& state,
                      const std::optional<job_answer>& answer);
    void renew(const job_pointer& state);
    void on_renewed(const job_pointer& state, const claim_request& asked,
                    const claim_outcome& outcome);
    void tend_claims(instant now);
    claim_request_options request_for(const job_state& state) const;

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
    bool settle(const job_pointer& state, const attempt_key& key,
                const task_result& result);
    bool grant_retry(const job_pointer& state, const task_result& result) const;

    // entry_recovery.cpp: lost links and adoption
    void ask_agent(const agent_run_id& agent);
    void ask_reach(const job_pointer& state);
    void on_status(const agent_id& agent, const status_message& it);
    bool apply(job_state& state, const agent_run_id& agent,
               const status_item& it);
    void settle_ended(const job_pointer& state, const status_message& it);
    void finish_adoption(const job_pointer& state);
    void check_lost(instant now);
    struct lost_attempt;
    std::vector<lost_attempt> lost_attempts(job_state& state,
                                            const linked_runs& links,
                                            instant now) const;

    // entry_answers.cpp: answers and deadlines
    void finish_if_complete(const job_pointer& state);
    void close_claim(const job_pointer& state, const claim_request& asked,
                     const job_answer& answer);
    void publish(const job_pointer& state, const job_answer& answer);
    void refuse(const job_pointer& state, const job_answer& answer);
    void forget(const job_pointer& state, const job_answer& answer);
    void log_answered(const job_pointer& state, const job_answer& answer,
                      std::string_view by) const;
    void expire_jobs(instant now);
    void forget_answers(instant now);
    effect waiting_effect(const job_state& state, instant now) const;

    const entry_options options_;
    const entry_hooks hooks_;

    mutable std::mutex permit_mutex_;
    std::optional<permit> permit_;
    const instant began_ = hooks_.now();
    instant control_heard_ = began_;

    live_settings settings_;
    dispatcher dispatcher_;
    job_admission admission_;
    sharded_map<submission_id, job_pointer> jobs_;
    //! Of these, the ones without an answer: a few among many answered ones.
    sharded_map<submission_id, job_pointer> open_;
    //! Agents that have told their incarnation on an open link.
    sharded_map<agent_id, incarnation> linked_;
    std::mutex links_mutex_;
    //! Copies of linked_ until that changes.
    std::shared_ptr<const linked_runs> links_;
    std::optional<agent_reach> reach_;

    instant answers_forgotten_{};

    std::mutex probe_mutex_;
    std::optional<instant> probe_sent_;
    std::atomic<bool> ledger_ready_{false};
    std::atomic<std::uint64_t> asks_{0};

    reason_counts answers_by_reason_;

    std::atomic<bool> leaving_{false};
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
};

} // namespace lagoonquay
