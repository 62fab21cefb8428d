//! The entry: takes jobs, claims them, routes their tasks, gathers answers.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/job_admission.hpp"
#include "lagoonquay/process/live_settings.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job_run.hpp"
#include "lagoonquay/version/permit.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Gets the answer to a job once, from any thread.
using answer_hook = std::function<void(const job_answer&)>;

//! Hands a job to the entry that holds its claim. Thread-safe.
using forward_hook =
    std::function<void(const std::string& address, const job&, answer_hook)>;

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

    //! Takes no new job; accepted ones go on.
    void drain();

    //! @return whether new jobs are taken.
    bool ready() const;

    //! @return jobs without an answer yet.
    std::size_t unanswered();

    agent_table& agents() noexcept;
    fleet_view view() const;
    entry_counts counts() const noexcept;

    //! @return the whole state as JSON.
    std::string dump();

private:
    struct job_state;

    std::optional<job_answer> refuse_early(const job& submitted) const;
    std::optional<job_answer> refuse_claimed(const submission_id& submission,
                                             const claim_outcome& outcome);
    bool is_waiting(const task_key& key);
    bool join_or_add(const job& submitted, content_digest digest,
                     answer_hook& done);
    void start_claim(const job& submitted, content_digest digest);
    void on_claim(const submission_id& submission,
                  const claim_outcome& outcome);
    void enqueue_waiting(const submission_id& submission);
    void fail_job(const submission_id& submission, const job_answer& answer);
    std::optional<dispatch_message> begin_dispatch(const task_key& key,
                                                   const agent_id& agent,
                                                   const taken_credit& credit);
    void on_messages(const agent_id& agent,
                     const std::vector<link_message>& messages);
    void on_close(const agent_id& agent);
    void on_result(const agent_id& agent, const result_message& it);
    void finish_if_complete(const submission_id& submission);
    void expire_jobs(instant now);
    void renew_claims(instant now);

    const entry_options options_;
    const entry_hooks hooks_;

    mutable std::mutex permit_mutex_;
    std::optional<permit> permit_;

    live_settings settings_;
    dispatcher dispatcher_;
    job_admission admission_;
    sharded_map<submission_id, std::shared_ptr<job_state>> jobs_;

    std::atomic<bool> draining_{false};
    std::atomic<std::uint64_t> accepted_{0};
    std::atomic<std::uint64_t> joined_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<std::uint64_t> completed_{0};
    std::atomic<std::uint64_t> failed_{0};
    std::atomic<std::uint64_t> requeued_{0};
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace lagoonquay
