#include "lagoonquay/process/entry_service.hpp"

#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_subset.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/dispatch.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! Attempts that one claim round leaves room for.
constexpr std::uint64_t attempts_per_round = 1ULL << 16U;

attempt_number attempt_base(claim_round round) noexcept
{
    return attempt_number(round.number() * attempts_per_round);
}

// Only a proof that the attempt never starts lets a task move.
bool may_move(const task_result& result) noexcept
{
    const bool declined = result->reason == failure_reason::no_permit ||
                          result->reason == failure_reason::not_startable ||
                          result->reason == failure_reason::draining;
    return declined && result->ran == effect::not_run;
}

task_to_queue describe_task(const job& submitted, task_index index,
                            instant deadline)
{
    const auto& work = submitted->tasks[index.number()];
    return {.customer = submitted->customer,
            .key = {submitted->submission, index},
            .kind = work->kind,
            .need = work->need,
            .declared_run = work->declared_run,
            .deadline = deadline};
}

job_answer claim_refusal(const submission_id& submission, claim_status status)
{
    switch (status)
    {
    case claim_status::mismatch:
        return refusal(submission, failure_reason::content_mismatch,
                       effect::unknown,
                       "the submission id was used with other content");
    case claim_status::fenced:
        return refusal(submission, failure_reason::fenced, effect::unknown,
                       "the submission is older than the ledger's memory");
    default:
        return refusal(submission, failure_reason::ledger_unavailable,
                       effect::unknown, "no quorum of ledger replicas");
    }
}

} // namespace

//! A job at this entry; guarded by its shard's lock.
struct entry_service::job_state
{
    explicit job_state(const job& submitted) : run(submitted)
    {
    }

    job_run run;
    content_digest digest;
    instant deadline{};
    bool claimed = false;
    claim_round round;
    instant claim_end{};
    std::vector<answer_hook> waiters;
    std::optional<job_answer> answer;
    instant answered_at{};
};

entry_service::entry_service(entry_options options, entry_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      settings_(hooks_.draw),
      dispatcher_(
          {.now = hooks_.now,
           .route = settings_.route(),
           .weight = [this](const customer_id& it)
           { return limits_of(*settings_.current(), it).weight; },
           .draw = hooks_.draw,
           .waiting = [this](const task_key& key) { return is_waiting(key); },
           .begin =
               [this](const task_key& key, const agent_id& agent,
                      const taken_credit& credit)
           {
               return begin_dispatch(key, agent, credit);
           }}),
      admission_({}, dispatcher_, settings_, hooks_.now)
{
}

entry_service::~entry_service() = default;

void entry_service::submit(const job& submitted, answer_hook done)
{
    if (auto refused = refuse_early(submitted))
    {
        ++refused_;
        return done(*refused);
    }
    const auto digest = digest_of(submitted);
    if (join_or_add(submitted, digest, done))
        return;
    ++accepted_;
    start_claim(submitted, digest);
}

bool entry_service::cancel(const submission_id& submission)
{
    std::vector<attempt_key> with_agents;
    const bool known =
        jobs_.with(submission,
                   [&](auto* it)
                   {
                       if (it == nullptr)
                           return false;
                       auto& run = (*it)->run;
                       with_agents = run.dispatched();
                       for (const auto& index : run.waiting())
                           run.finish_waiting(index, failure_reason::cancelled,
                                              "cancelled by the caller");
                       return true;
                   });
    for (const auto& key : with_agents)
        dispatcher_.agents().send(key.agent, cancel_message{submission, key});
    finish_if_complete(submission);
    return known;
}

std::optional<job_progress>
entry_service::progress(const submission_id& submission)
{
    return jobs_.with(submission,
                      [](auto* it) -> std::optional<job_progress>
                      {
                          if (it == nullptr)
                              return std::nullopt;
                          const auto& found = **it;
                          return job_progress{
                              found.run.submitted()->tasks.size(),
                              found.run.finished_count(), found.answer};
                      });
}

void entry_service::on_link(const agent_id& agent,
                            const std::shared_ptr<message_link>& link)
{
    dispatcher_.agents().open(agent, link);
    link->send(hello_message{options_.id, options_.run});
    link->start({[this, agent](const std::vector<link_message>& it)
                 { on_messages(agent, it); },
                 [this, agent]
                 {
                     on_close(agent);
                 }});
}

void entry_service::hold(const permit& granted)
{
    {
        const std::lock_guard lock(permit_mutex_);
        permit_ = granted;
    }
    if (!settings_.apply(granted->view))
        return;
    const auto& current = **settings_.current();
    dispatcher_.agents().set_health_options(
        {.failures = current.quarantine.failures,
         .first_pause = current.quarantine.first_pause,
         .longest_pause = current.quarantine.longest_pause,
         .ramp = current.ramp});
}

void entry_service::learn(const std::vector<member>& agents)
{
    const auto most = (*settings_.current())->subset_agents;
    dispatcher_.agents().learn(agent_subset(options_.id, agents, most),
                               hooks_.now());
}

void entry_service::tick()
{
    const auto now = hooks_.now();
    expire_jobs(now);
    renew_claims(now);
    dispatcher_.tick();
}

void entry_service::drain()
{
    draining_ = true;
}

bool entry_service::ready() const
{
    if (draining_)
        return false;
    const std::lock_guard lock(permit_mutex_);
    return permit_ && allows_entry(*permit_, options_.id, hooks_.now());
}

std::size_t entry_service::unanswered()
{
    std::size_t n = 0;
    jobs_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
                n += it->answer ? 0 : 1;
        });
    return n;
}

agent_table& entry_service::agents() noexcept
{
    return dispatcher_.agents();
}

fleet_view entry_service::view() const
{
    const std::lock_guard lock(permit_mutex_);
    return permit_ ? (*permit_)->view : fleet_view();
}

entry_counts entry_service::counts() const noexcept
{
    return {accepted_,  joined_, refused_,
            completed_, failed_, dispatcher_.dispatched(),
            requeued_,  dropped_};
}

std::string entry_service::dump()
{
    const auto n = counts();
    const json::object state{
        {"role", "entry"},
        {"id", options_.id.text()},
        {"run", std::to_string(options_.run.number())},
        {"domain", options_.domain.text()},
        {"ready", ready()},
        {"draining", draining_.load()},
        {"version", view()->version.number()},
        {"agents", dispatcher_.agents().size()},
        {"suspect_agents", dispatcher_.agents().suspects()},
        {"usable_slots", dispatcher_.agents().usable_slots()},
        {"learned_kinds", dispatcher_.runs().kinds()},
        {"queued_tasks", dispatcher_.queued()},
        {"jobs", jobs_.size()},
        {"unanswered", unanswered()},
        {"accepted", n.jobs},
        {"joined", n.joined},
        {"refused", n.refused},
        {"completed", n.completed},
        {"failed", n.failed},
        {"dispatched", n.dispatched},
        {"requeued", n.requeued},
        {"dropped_results", n.dropped_results}};
    return json::serialize(state);
}

// Each of these refusals comes before the job is in any table, so that "not
// run" holds for this entry. A job known to run elsewhere is caught by its
// claim, never here: an old submission is refused as unknown.
std::optional<job_answer>
entry_service::refuse_early(const job& submitted) const
{
    const auto& id = submitted->submission;
    if (!ready())
        return refusal(id, failure_reason::no_permit, effect::unknown,
                       "this entry takes no jobs now");
    const auto now = hooks_.wall();
    if (submitted->created > now + options_.clock_skew)
        return refusal(id, failure_reason::expired, effect::not_run,
                       "created_ms is in the future");
    if (submitted->created + options_.oldest_submission < now)
        return refusal(id, failure_reason::expired, effect::unknown,
                       "the submission is too old");
    return std::nullopt;
}

// An adopted job has run in part and is never refused. "Not run" is said only
// of a job so young that this entry can't have answered and forgotten it.
std::optional<job_answer>
entry_service::refuse_claimed(const submission_id& submission,
                              const claim_outcome& outcome)
{
    if (outcome->first_claim_age > duration::zero())
        return std::nullopt;
    std::optional<job> asked;
    jobs_.with(submission,
               [&](auto* it)
               {
                   if (it != nullptr)
                       asked = (*it)->run.submitted();
               });
    if (!asked)
        return std::nullopt;
    const auto age = hooks_.wall() - (*asked)->created;
    const bool remembered =
        age + options_.clock_skew < options_.answer_retention;
    return admission_.refuse(*asked,
                             remembered ? effect::not_run : effect::unknown);
}

// @return whether the job was known already; `done` is then taken care of.
bool entry_service::join_or_add(const job& submitted, content_digest digest,
                                answer_hook& done)
{
    const auto& id = submitted->submission;
    std::optional<job_answer> at_once;
    const bool known = jobs_.with_shard(
        id,
        [&](auto& values)
        {
            const auto it = values.find(id);
            if (it == values.end())
            {
                const auto fresh = std::make_shared<job_state>(submitted);
                fresh->digest = digest;
                fresh->deadline = hooks_.now() + submitted->time_limit;
                fresh->waiters.push_back(std::move(done));
                values.emplace(id, fresh);
                return false;
            }
            auto& found = *it->second;
            if (found.digest != digest)
                at_once = claim_refusal(id, claim_status::mismatch);
            else if (found.answer)
                at_once = found.answer;
            else
                found.waiters.push_back(std::move(done));
            return true;
        });
    if (known)
        ++joined_;
    if (at_once)
        done(*at_once);
    return known;
}

void entry_service::start_claim(const job& submitted, content_digest digest)
{
    const auto id = submitted->submission;
    const claim_request asked({.submission = id,
                               .digest = digest,
                               .created = submitted->created,
                               .holder = options_.id,
                               .holder_run = options_.run,
                               .holder_address = options_.address,
                               .round = {},
                               .lease = options_.claim_lease,
                               .reach = {}});
    hooks_.claim(asked, [this, id](const claim_outcome& outcome)
                 { on_claim(id, outcome); });
}

void entry_service::on_claim(const submission_id& submission,
                             const claim_outcome& outcome)
{
    if (outcome->status == claim_status::held_by_other)
    {
        std::optional<job> work;
        jobs_.with(submission,
                   [&](auto* it)
                   {
                       if (it != nullptr)
                           work = (*it)->run.submitted();
                   });
        if (!work)
            return;
        return hooks_.forward(outcome->holder_address, *work,
                              [this, submission](const job_answer& answer)
                              { fail_job(submission, answer); });
    }
    if (outcome->status != claim_status::held)
        return fail_job(submission, claim_refusal(submission, outcome->status));
    if (const auto refused = refuse_claimed(submission, outcome))
    {
        ++refused_;
        return fail_job(submission, *refused);
    }
    jobs_.with(submission,
               [&](auto* it)
               {
                   if (it == nullptr)
                       return;
                   auto& found = **it;
                   found.claimed = true;
                   found.round = outcome->round;
                   found.claim_end = outcome->valid_until;
                   found.run = job_run(found.run.submitted(),
                                       attempt_base(outcome->round));
               });
    enqueue_waiting(submission);
    dispatcher_.pump();
}

void entry_service::enqueue_waiting(const submission_id& submission)
{
    std::vector<task_to_queue> tasks;
    jobs_.with(submission,
               [&](auto* it)
               {
                   if (it == nullptr)
                       return;
                   auto& run = (*it)->run;
                   for (const auto& index : run.waiting())
                       tasks.push_back(describe_task(run.submitted(), index,
                                                     (*it)->deadline));
               });
    for (const auto& it : tasks)
        dispatcher_.enqueue(it);
}

// Also hands the answer of a forwarded job to its waiters.
void entry_service::fail_job(const submission_id& submission,
                             const job_answer& answer)
{
    std::vector<answer_hook> waiters;
    jobs_.with_shard(submission,
                     [&](auto& values)
                     {
                         const auto it = values.find(submission);
                         if (it == values.end())
                             return;
                         waiters = std::move(it->second->waiters);
                         values.erase(it);
                     });
    for (const auto& it : waiters)
        it(answer);
}

bool entry_service::is_waiting(const task_key& key)
{
    return jobs_.with(
        key.submission, [&](auto* it)
        { return it != nullptr && (*it)->run.is_waiting(key.index); });
}

// The agent's clock was at least `agent_time` when it was heard, so the sum
// below is never later than the claim's end.
std::optional<dispatch_message>
entry_service::begin_dispatch(const task_key& key, const agent_id& agent,
                              const taken_credit& credit)
{
    const auto now = hooks_.now();
    return jobs_.with(
        key.submission,
        [&](auto* it) -> std::optional<dispatch_message>
        {
            if (it == nullptr || !(*it)->run.is_waiting(key.index))
                return std::nullopt;
            auto& found = **it;
            if (now >= found.deadline)
                return std::nullopt;
            const auto& submitted = found.run.submitted();
            dispatch_message message;
            message.submission = key.submission;
            message.key =
                found.run.dispatch(key.index, agent, credit.agent_run);
            message.start_before = credit.agent_time +
                                   (found.claim_end - credit.heard) -
                                   options_.claim_margin;
            message.run_limit = found.deadline - now;
            message.work = submitted->tasks[key.index.number()];
            return message;
        });
}

void entry_service::on_messages(const agent_id& agent,
                                const std::vector<link_message>& messages)
{
    for (const auto& it : messages)
    {
        if (const auto* grant = std::get_if<grant_message>(&it))
        {
            dispatcher_.update(agent, *grant, hooks_.now());
        }
        if (const auto* result = std::get_if<result_message>(&it))
            on_result(agent, *result);
    }
    dispatcher_.pump();
}

void entry_service::on_close(const agent_id& agent)
{
    dispatcher_.agents().close(agent);
    std::vector<submission_id> touched;
    jobs_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                for (const auto& key : it->run.dispatched())
                {
                    if (key.agent != agent)
                        continue;
                    it->run.record(
                        key,
                        task_result({.index = key.index,
                                     .reason = failure_reason::link_lost,
                                     .ran = effect::unknown,
                                     .body = {},
                                     .detail = "the link to agent " +
                                               agent.text() + " was lost"}));
                    touched.push_back(id);
                }
            }
        });
    for (const auto& it : touched)
        finish_if_complete(it);
}

void entry_service::on_result(const agent_id& agent, const result_message& it)
{
    bool counted = false;
    std::optional<task_to_queue> again;
    jobs_.with(it.submission,
               [&](auto* found)
               {
                   if (found == nullptr)
                       return;
                   auto& run = (*found)->run;
                   if (!may_move(it.result) || (*found)->answer)
                   {
                       counted = run.record(it.key, it.result);
                       return;
                   }
                   counted = run.requeue(it.key);
                   if (counted)
                       again = describe_task(run.submitted(), it.key.index,
                                             (*found)->deadline);
               });
    dispatcher_.finish(agent, it);
    if (!counted)
        ++dropped_;
    if (again)
    {
        ++requeued_;
        const auto moves = it.key.attempt.number() % attempts_per_round;
        dispatcher_.enqueue_again(*again, agent,
                                  static_cast<std::uint32_t>(moves));
    }
    finish_if_complete(it.submission);
}

void entry_service::finish_if_complete(const submission_id& submission)
{
    std::vector<answer_hook> waiters;
    std::optional<job_answer> answer;
    jobs_.with(submission,
               [&](auto* it)
               {
                   if (it == nullptr || (*it)->answer || !(*it)->run.finished())
                       return;
                   auto& found = **it;
                   found.answer = found.run.answer();
                   found.answered_at = hooks_.now();
                   answer = found.answer;
                   waiters = std::move(found.waiters);
               });
    if (!answer)
        return;
    ++(succeeded(*answer) ? completed_ : failed_);
    if (!succeeded(*answer))
        write_log(log_level::info, part, submission,
                  "Job failed: " + (*answer)->detail + ".");
    for (const auto& it : waiters)
        it(*answer);
}

void entry_service::expire_jobs(instant now)
{
    std::vector<submission_id> late;
    jobs_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                if (it->answer || now < it->deadline || !it->claimed)
                    continue;
                it->run.abandon(failure_reason::deadline,
                                "the deadline passed");
                late.push_back(id);
            }
            std::erase_if(values,
                          [&](const auto& it)
                          {
                              const auto& found = *it.second;
                              return found.answer &&
                                     now - found.answered_at >
                                         options_.answer_retention;
                          });
        });
    for (const auto& it : late)
        finish_if_complete(it);
}

// Renewed when less than half of the lease is left.
void entry_service::renew_claims(instant now)
{
    std::vector<claim_request> renewals;
    jobs_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                const bool soon =
                    it->claim_end - now < options_.claim_lease / 2;
                if (!it->claimed || it->answer || !soon)
                    continue;
                const auto& submitted = it->run.submitted();
                renewals.push_back(
                    claim_request({.submission = id,
                                   .digest = it->digest,
                                   .created = submitted->created,
                                   .holder = options_.id,
                                   .holder_run = options_.run,
                                   .holder_address = options_.address,
                                   .round = it->round,
                                   .lease = options_.claim_lease,
                                   .reach = {}}));
            }
        });
    for (const auto& asked : renewals)
    {
        hooks_.claim(
            asked,
            [this, id = asked->submission](const claim_outcome& outcome)
            {
                if (outcome->status != claim_status::held)
                    return;
                jobs_.with(id,
                           [&](auto* it)
                           {
                               if (it != nullptr)
                                   (*it)->claim_end = std::max(
                                       (*it)->claim_end, outcome->valid_until);
                           });
            });
    }
}

} // namespace lagoonquay
