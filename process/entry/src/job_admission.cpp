#include "lagoonquay/process/job_admission.hpp"

#include "lagoonquay/process/decision_log.hpp"

#include <algorithm>
#include <string>

namespace lagoonquay
{

namespace
{

std::string explain(failure_reason reason)
{
    if (reason == failure_reason::quota)
        return "the customer's waiting tasks are at their limit";
    return "the job can't end before its deadline";
}

void log_not_admitted(const submission_id& submission,
                      const admission_request& request,
                      const admission_load& load)
{
    write_event(
        log_level::info, "entry", submission, "not_admitted",
        {{"work_ms", milliseconds_of(request.work)},
         {"longest_ms", milliseconds_of(request.longest)},
         {"slack_ms", milliseconds_of(request.slack)},
         {"limit_ms", milliseconds_of(request.time_limit)},
         {"waited_ms", milliseconds_of(load.waited)},
         {"queued_tasks", static_cast<std::int64_t>(load.all_tasks)},
         {"queued_ms", milliseconds_of(load.all_work)},
         {"more_urgent_ms", milliseconds_of(load.more_urgent_work)},
         {"customer_tasks", static_cast<std::int64_t>(load.customer_tasks)},
         {"slots", std::int64_t{load.slots}}});
}

} // namespace

job_admission::job_admission(job_admission_options options, dispatcher& tasks,
                             const live_settings& settings, clock_hook now)
    : options_(options), tasks_(tasks), settings_(settings),
      now_(std::move(now))
{
}

std::optional<job_answer> job_admission::refuse(const job& submitted,
                                                effect ran)
{
    if (auto refused = refuse_impossible(submitted, ran))
        return refused;
    const auto request = describe(submitted);
    const auto load = load_for(submitted);
    const auto reason = lagoonquay::refuse(request, load);
    if (!reason)
        return std::nullopt;
    log_not_admitted(submitted->submission, request, load);
    return refusal(submitted->submission, *reason, ran, explain(*reason));
}

std::optional<job_answer> job_admission::refuse_impossible(const job& submitted,
                                                           effect ran)
{
    if (!is_fleet_known())
        return std::nullopt;
    if (!tasks_.agents().has_worker_of(submitted->service))
        return refusal(submitted->submission, failure_reason::impossible_need,
                       ran,
                       "no worker of service '" + submitted->service.text() +
                           "' is known");
    for (const auto& it : submitted->tasks)
    {
        const auto lacking = tasks_.agents().unsatisfiable_resource(
            it->need, submitted->service);
        if (!lacking)
            continue;
        return refusal(submitted->submission, failure_reason::impossible_need,
                       ran, "no worker has enough " + *lacking);
    }
    return std::nullopt;
}

admission_request job_admission::describe(const job& submitted)
{
    admission_request request;
    request.tasks = submitted->tasks.size();
    request.time_limit = submitted->time_limit;
    const auto& aim = submitted->aim;
    for (const auto& it : submitted->tasks)
    {
        const auto run = tasks_.runs().expect(it->kind, it->declared_run);
        request.work += run;
        request.longest = std::max(request.longest, run);
    }
    if (aim.stretch > 1)
        request.slack = aim.target + scale(request.longest, aim.stretch - 1);
    return request;
}

// Until the list of workers counts as complete, an unknown part of the slots is
// missing. The load then has zero slots, so that no wait is estimated from
// them.
admission_load job_admission::load_for(const job& submitted)
{
    const auto& customer = submitted->customer;
    const auto queue =
        tasks_.load_of(customer, submitted->service, submitted->priority);
    const auto settings = settings_.current();
    return {.customer_tasks = queue.customer_tasks,
            .customer_work = queue.customer_work,
            .more_urgent_work = queue.more_urgent_work,
            .all_tasks = queue.all_tasks,
            .all_work = queue.all_work,
            .customer_share = queue.customer_share,
            .slots = is_fleet_known()
                         ? tasks_.agents().usable_slots(submitted->service)
                         : 0,
            .most_customer_tasks = limits_of(*settings, customer).queued_tasks,
            .most_tasks = (*settings)->queued_tasks,
            .waited = queue.urgent_since ? now_() - *queue.urgent_since
                                         : duration::zero()};
}

// Right after its start an entry has received few workers or none.
bool job_admission::is_fleet_known()
{
    if (tasks_.agents().usable_slots() == 0)
        return false;
    const auto now = now_().time_since_epoch().count();
    duration::rep unseen = 0;
    if (first_slot_seen_.compare_exchange_strong(unseen, now))
        return false;
    return duration(now - first_slot_seen_) >= options_.fleet_known_delay;
}

} // namespace lagoonquay
