#include "lagoonquay/load/run_figures.hpp"

#include <algorithm>

namespace lagoonquay::load
{

namespace
{

//! How long after a failure domain is out a start in it is a fault.
constexpr duration out_grace = std::chrono::seconds(3);

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double count(std::uint64_t n)
{
    return static_cast<double>(n);
}

//! Collects figures in the order of the report.
class figure_list
{
public:
    void add(std::string name, double value, std::string unit)
    {
        figures_.push_back({std::move(name), value, std::move(unit)});
    }

    void add_quantiles(const std::string& name,
                       const std::vector<double>& values,
                       const std::string& unit)
    {
        constexpr double p50 = 0.5;
        constexpr double p99 = 0.99;
        constexpr double p999 = 0.999;
        add(name + "_p50", quantile(values, p50), unit);
        add(name + "_p99", quantile(values, p99), unit);
        add(name + "_p99.9", quantile(values, p999), unit);
        add(name + "_worst", quantile(values, 1), unit);
    }

    std::vector<figure> finish()
    {
        return std::move(figures_);
    }

private:
    std::vector<figure> figures_;
};

double slowdown(const experiment& it, const job_outcome& outcome)
{
    const auto slots = it->fleet.workers * it->fleet.slots;
    const auto ideal = ideal_response(outcome.planned, it->round_trips, slots);
    return share(to_ms(outcome.response), to_ms(ideal));
}

bool is_planned(const job_outcome& it)
{
    return !it.contradictory && (it.judged == verdict::complete ||
                                 it.judged == verdict::failed_as_planned);
}

std::vector<std::string> make_notes(const std::vector<job_outcome>& outcomes)
{
    std::vector<std::string> notes;
    for (const auto& it : outcomes)
    {
        if (is_planned(it))
            continue;
        const auto at = static_cast<int>(to_ms(it.planned->at));
        const auto took = static_cast<int>(to_ms(it.response));
        notes.push_back(it.planned->work->submission.text() + " at " +
                        std::to_string(at) + " ms, after " +
                        std::to_string(took) + " ms " +
                        std::string(to_text(it.judged)) + ": " + it.failure);
    }
    return notes;
}

void add_verdicts(figure_list& list, const run_observations& seen)
{
    const auto& all = seen.outcomes;
    list.add("jobs", count(all.size()), "jobs");
    for (const auto kind : {verdict::complete, verdict::failed_as_planned,
                            verdict::refused_not_run, verdict::failed,
                            verdict::lost, verdict::wrong})
    {
        const auto n = std::count_if(all.begin(), all.end(),
                                     [&](const job_outcome& it)
                                     { return it.judged == kind; });
        list.add(std::string(to_text(kind)), static_cast<double>(n), "jobs");
    }
    std::size_t contradictory = 0;
    std::size_t false_refusals = 0;
    for (const auto& it : all)
    {
        const auto& id = it.planned->work->submission.text();
        contradictory += it.contradictory ? 1 : 0;
        const bool started = seen.starts.started_jobs.contains(id);
        false_refusals += it.claims_not_run && started ? 1 : 0;
    }
    list.add("contradictory_answers", count(contradictory), "jobs");
    list.add("false_not_run", count(false_refusals), "jobs");
    list.add("doubled_starts", count(seen.starts.doubled), "starts");
}

void add_responses(figure_list& list, const experiment& it,
                   const run_observations& seen)
{
    std::vector<double> responses;
    std::vector<double> slowdowns;
    std::vector<double> small;
    for (const auto& one : seen.outcomes)
    {
        if (one.judged != verdict::complete)
            continue;
        responses.push_back(to_ms(one.response));
        slowdowns.push_back(slowdown(it, one));
        if (one.planned->work->customer != customer_id("large"))
            small.push_back(slowdowns.back());
    }
    list.add_quantiles("response", responses, "ms");
    list.add_quantiles("response_over_ideal", slowdowns, "x");
    list.add_quantiles("small_customers_over_ideal", small, "x");
}

void add_messages(figure_list& list, const run_observations& seen)
{
    const auto dispatched =
        count(seen.after.dispatched - seen.before.dispatched);
    const auto starts = count(seen.starts.starts);
    const auto dropped =
        count(seen.after.dropped_results - seen.before.dropped_results);
    const auto idle = std::max(dispatched - starts, 0.0);
    list.add("starts", starts, "tasks");
    list.add("dispatched", dispatched, "messages");
    list.add("requeued", count(seen.after.requeued - seen.before.requeued),
             "tasks");
    // A dispatch without a start costs itself and its result.
    const double wasted = 2 * idle + dropped;
    list.add("wasted_messages", wasted, "messages");
    list.add("wasted_per_task", share(wasted, starts), "messages");
}

void add_domain_change(figure_list& list, const experiment& it,
                       const run_observations& seen,
                       const std::vector<point>& running)
{
    const auto& change = it->change;
    if (change.domain.empty())
        return;
    const auto from = to_seconds(change.out_at + out_grace);
    const auto to = to_seconds(change.in_at);
    const auto done = area_between(running, from, to);
    const fleet_layout layout(it->fleet);
    const auto slots = count(layout.slots_without(change.domain));
    list.add("domain_out_work", done, "task s");
    list.add("domain_out_slots", slots * (to - from), "slot s");
    list.add("domain_out_share", share(done, slots * (to - from)), "x");
    list.add("starts_while_out",
             count(starts_between(seen.agents, change.domain,
                                  change.out_at + out_grace, change.in_at)),
             "starts");
}

void add_costs(figure_list& list, const run_observations& seen)
{
    constexpr double mib = 1024.0 * 1024.0;
    const auto starts = count(seen.starts.starts);
    const auto seconds = to_seconds(seen.length);
    for (const auto& it : seen.costs)
    {
        const auto n = count(it.after.processes);
        const auto used = to_seconds(it.after.processor - it.before.processor);
        list.add(it.role + "_processor", used, "s");
        list.add(it.role + "_processor_per_task", share(used * 1e6, starts),
                 "us");
        list.add(it.role + "_load", share(used * 100, seconds * n),
                 "% of a core");
        list.add(it.role + "_resident",
                 share(count(it.after.resident_bytes) / mib, n), "MiB");
    }
}

} // namespace

run_result make_result(const experiment& it, const run_observations& seen)
{
    run_result_options options;
    options.experiment = it->name;
    options.seed = it->seed;
    options.running = running_over_time(seen.agents);
    for (const auto& one : seen.outcomes)
    {
        if (one.judged == verdict::complete)
            options.slowdowns.push_back(
                {to_seconds(one.planned->at), slowdown(it, one)});
    }
    options.notes = make_notes(seen.outcomes);
    figure_list list;
    list.add("length", to_seconds(seen.length), "s");
    add_verdicts(list, seen);
    add_responses(list, it, seen);
    add_messages(list, seen);
    add_domain_change(list, it, seen, options.running);
    add_costs(list, seen);
    options.figures = list.finish();
    return run_result(std::move(options));
}

} // namespace lagoonquay::load
