#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/decision_log.hpp"

#include "entry_job.hpp"
#include "lagoonquay/process/agent_subset.hpp"
#include "lagoonquay/process/log.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! Time between two probes of the ledger while it has no quorum.
constexpr duration first_probe_period = std::chrono::milliseconds(50);

} // namespace

void log_refusal(const job_answer& refused)
{
    write_event(log_level::info, part, refused->submission, "refused",
                {{"reason", to_text(refused->reason)},
                 {"ran", to_text(refused->ran)},
                 {"detail", refused->detail}});
}

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

// A resubmission of an accepted job is joined even while this entry accepts no
// new jobs, because the caller is entitled to its answer.
void entry_service::submit(const job& submitted, answer_hook done)
{
    const auto digest = digest_of(submitted);
    if (join(submitted, digest, done))
        return;
    if (auto refused = refuse_early(submitted))
    {
        ++refused_;
        answers_by_reason_.add((*refused)->reason);
        log_refusal(*refused);
        return done(*refused);
    }
    const auto state = add(submitted, digest, done);
    if (!state)
        return;
    ++accepted_;
    write_event(
        log_level::info, part, state->id, "accepted",
        {{"customer", submitted->customer.text()},
         {"tasks", static_cast<std::int64_t>(submitted->tasks.size())},
         {"limit_ms", milliseconds_of(submitted->time_limit)},
         {"version", static_cast<std::int64_t>(view()->version.number())}});
    request_claim(state, claim_round());
}

std::optional<job_progress>
entry_service::progress(const submission_id& submission)
{
    const auto state = find(submission);
    if (!state)
        return std::nullopt;
    std::optional<job_progress> found;
    with_job(state,
             [&](const job_state& it) {
                 found = {it.submitted->tasks.size(), it.run.finished_count(),
                          it.answer};
             });
    return found;
}

void entry_service::set_permit(const permit& granted)
{
    bool newer = false;
    {
        const std::lock_guard lock(permit_mutex_);
        last_control_contact_ = hooks_.now();
        if (permit_ && granted->view->version < (*permit_)->view->version)
            return;
        newer = !permit_ || (*permit_)->view->version < granted->view->version;
        permit_ = granted;
    }
    if (newer)
        log_version(part, granted);
    if (!settings_.apply(granted->view))
        return;
    const auto& current = **settings_.current();
    dispatcher_.agents().set_health_options(
        {.failures = current.quarantine.failures,
         .first_pause = current.quarantine.first_pause,
         .longest_pause = current.quarantine.longest_pause,
         .ramp = current.ramp});
}

void entry_service::learn(const std::vector<member>& agents,
                          std::size_t entries)
{
    if (!agents.empty())
    {
        auto listed = std::make_shared<const std::vector<member>>(agents);
        const std::lock_guard lock(links_mutex_);
        listed_ = std::move(listed);
    }
    const auto size = subset_size(agents.size(), entries,
                                  (*settings_.current())->subset_agents);
    dispatcher_.agents().learn(agent_subset(options_.id, agents, size),
                               hooks_.now());
}

void entry_service::tick()
{
    const auto now = hooks_.now();
    probe_ledger(now);
    check_lost(now);
    expire_jobs(now);
    expire_answers(now);
    maintain_claims(now);
    stop_lapsed(now);
    repeat_cancels(now);
    dispatcher_.tick();
}

void entry_service::mark_not_ready(const stop_plan& plan)
{
    const std::lock_guard lock(stop_mutex_);
    stop_plan_ = plan;
    stop_signal_at_ = stop_signal_at_.value_or(hooks_.now());
}

void entry_service::drain()
{
    draining_ = true;
}

bool entry_service::ready() const
{
    return !is_stopping() && takes_jobs() && !is_view_stale();
}

bool entry_service::is_stopping() const
{
    return stop_signal_at().has_value();
}

std::optional<instant> entry_service::stop_signal_at() const
{
    const std::lock_guard lock(stop_mutex_);
    return stop_signal_at_;
}

bool entry_service::stop_allows(const job& submitted) const
{
    const std::lock_guard lock(stop_mutex_);
    return !stop_signal_at_ ||
           takes_job(stop_plan_, hooks_.now() - *stop_signal_at_,
                     submitted->time_limit);
}

bool entry_service::takes_jobs() const
{
    if (draining_ || (options_.probe_ledger && !ledger_ready_))
        return false;
    const std::lock_guard lock(permit_mutex_);
    return permit_ &&
           allows_entry(*permit_, options_.id,
                        permit_time(*permit_, options_.permits, hooks_.now()));
}

std::size_t entry_service::unanswered()
{
    return open_.size();
}

duration entry_service::longest_time_left()
{
    const auto now = hooks_.now();
    auto longest = duration::zero();
    for (const auto& it : open_jobs())
        longest = std::max(longest, it->deadline - now);
    return longest;
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
    return {accepted_,  joined_,    refused_,
            completed_, failed_,    dispatcher_.dispatched(),
            requeued_,  dropped_,   retried_,
            adopted_,   recovered_, held_moves_};
}

const reason_counts& entry_service::answers_by_reason() const noexcept
{
    return answers_by_reason_;
}

latency_summary entry_service::waits() const
{
    return dispatcher_.waits();
}

duration entry_service::permit_left() const
{
    const std::lock_guard lock(permit_mutex_);
    return left_of(permit_, hooks_.now());
}

void entry_service::record_control_contact()
{
    const std::lock_guard lock(permit_mutex_);
    last_control_contact_ = hooks_.now();
}

duration entry_service::time_since_control() const
{
    const std::lock_guard lock(permit_mutex_);
    return hooks_.now() - last_control_contact_.value_or(started_at_);
}

bool entry_service::is_in_touch_with_control() const
{
    const std::lock_guard lock(permit_mutex_);
    return last_control_contact_ &&
           hooks_.now() - *last_control_contact_ <= permit_duration;
}

duration entry_service::view_age() const
{
    const auto now = hooks_.now();
    const std::lock_guard lock(permit_mutex_);
    return permit_ ? age_of(*permit_, now) : now - started_at_;
}

bool entry_service::is_view_current() const
{
    return view_age() <= options_.max_view_age;
}

// While control doesn't answer, it can't have sent any entry a change that this
// one missed, so this entry continues with the last view.
bool entry_service::is_view_stale() const
{
    return !is_view_current() && time_since_control() <= options_.max_view_age;
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
        {"suspect_agents", dispatcher_.agents().suspect_count()},
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
        {"dropped_results", n.dropped_results},
        {"retried", n.retried},
        {"adopted", n.adopted},
        {"recovered", n.recovered},
        {"held_moves", n.held_moves}};
    return json::serialize(state);
}

// An entry without state for a submission can't answer "not run": another entry
// may have run it. The only proof is a creation time that no entry can have
// accepted, given that clocks differ by at most one clock skew.
std::optional<job_answer>
entry_service::refuse_early(const job& submitted) const
{
    const auto& id = submitted->submission;
    if (!takes_jobs())
        return refusal(id, failure_reason::no_permit, effect::unknown,
                       "this entry takes no jobs now");
    if (!stop_allows(submitted))
        return refusal(id, failure_reason::no_permit, effect::unknown,
                       "this entry stops before the job's time limit");
    if (hooks_.work_delay && hooks_.work_delay() > options_.max_work_delay)
        return refusal(id, failure_reason::overloaded, effect::unknown,
                       "this entry is behind with its work");
    if (!submitted->dated)
        return std::nullopt;
    const auto now = hooks_.wall();
    if (submitted->created > now + 2 * options_.clock_skew)
        return refusal(id, failure_reason::expired, effect::not_run,
                       "created_ms is in the future");
    if (submitted->created > now + options_.clock_skew)
        return refusal(id, failure_reason::expired, effect::unknown,
                       "created_ms is in the future");
    if (submitted->created + options_.oldest_submission < now)
        return refusal(id, failure_reason::expired, effect::unknown,
                       "the submission is too old");
    return std::nullopt;
}

// @return whether the job exists already. `done` has then been called or
// stored.
bool entry_service::join(const job& submitted, content_digest digest,
                         answer_hook& done)
{
    const auto& id = submitted->submission;
    std::optional<job_answer> at_once;
    const bool known =
        jobs_.with(id,
                   [&](auto* found)
                   {
                       if (found == nullptr)
                           return false;
                       auto& it = **found;
                       if (it.digest != digest)
                           at_once =
                               refusal(id, failure_reason::content_mismatch,
                                       effect::unknown,
                                       "the submission id was used with "
                                       "other content");
                       else if (it.answer)
                           at_once = it.answer;
                       else
                           it.waiters.push_back(std::move(done));
                       return true;
                   });
    if (known)
    {
        ++joined_;
        write_event(log_level::info, part, id, "joined",
                    {{"answer", at_once ? to_text((*at_once)->reason)
                                        : std::string_view("awaited")}});
    }
    if (at_once)
        done(*at_once);
    return known;
}

// @return the new job, or nothing if another thread has just added it.
entry_service::job_pointer entry_service::add(const job& submitted,
                                              content_digest digest,
                                              answer_hook& done)
{
    auto fresh = std::make_shared<job_state>(
        submitted, digest, hooks_.now(), hooks_.now() + submitted->time_limit);
    const bool added =
        jobs_.with_shard(fresh->id,
                         [&](auto& values)
                         {
                             if (!values.emplace(fresh->id, fresh).second)
                                 return false;
                             fresh->waiters.push_back(std::move(done));
                             return true;
                         });
    if (added)
    {
        open_.with_shard(fresh->id, [&](auto& values)
                         { values.insert_or_assign(fresh->id, fresh); });
        return fresh;
    }
    join(submitted, digest, done);
    return nullptr;
}

entry_service::job_pointer entry_service::find(const submission_id& submission)
{
    return jobs_.with(submission, [](auto* it)
                      { return it == nullptr ? job_pointer() : *it; });
}

std::vector<entry_service::job_pointer> entry_service::open_jobs()
{
    std::vector<job_pointer> found;
    open_.for_each_shard(
        [&](const auto& values)
        {
            for (const auto& [id, it] : values)
                found.push_back(it);
        });
    return found;
}

// Removes nothing if the submission belongs to a newer job by now: it may have
// been resubmitted meanwhile.
void entry_service::remove_open(const job_pointer& state)
{
    open_.with_shard(state->id,
                     [&](auto& values)
                     {
                         const auto it = values.find(state->id);
                         if (it != values.end() && it->second == state)
                             values.erase(it);
                     });
}

void entry_service::probe_ledger(instant now)
{
    if (!options_.probe_ledger)
        return;
    {
        const std::lock_guard lock(probe_mutex_);
        const auto period =
            ledger_ready_ ? options_.probe_period : first_probe_period;
        if (probe_sent_ && now - *probe_sent_ < period)
            return;
        probe_sent_ = now;
    }
    hooks_.claim(claim_request({.dated = options_.dated_jobs,
                                .holder = options_.id,
                                .holder_run = options_.run,
                                .lease = options_.claim_lease}),
                 [this](const claim_outcome& outcome)
                 { ledger_ready_ = outcome->status == claim_status::held; });
}

} // namespace lagoonquay
