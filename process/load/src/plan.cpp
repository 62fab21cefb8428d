#include "lagoonquay/load/plan.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoonquay::load
{

namespace
{

constexpr std::uint32_t usual_processors_milli = 2000;
constexpr std::uint32_t usual_memory_mb = 1024;
constexpr std::uint32_t wrong_size_factor = 4;
constexpr std::uint32_t impossible_accelerators = 1000000;
constexpr int wrong_time_factor = 10;
constexpr int straggler_factor = 10;
constexpr double thousandths = 1000;

// The distributions of the standard library differ between libraries; these
// give the same plan everywhere.
class draws
{
public:
    explicit draws(std::uint64_t seed) : source_(seed)
    {
    }

    //! @return a number from 0 to below 1.
    double uniform()
    {
        constexpr int kept_bits = 53;
        return std::ldexp(static_cast<double>(source_() >> 11U), -kept_bits);
    }

    bool chance(std::uint64_t permille)
    {
        return uniform() * thousandths < static_cast<double>(permille);
    }

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(uniform() * static_cast<double>(bound));
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - uniform());
    }

    //! @return a number whose logarithm is uniform.
    double log_uniform(double least, double most)
    {
        return least * std::pow(most / least, uniform());
    }

private:
    std::mt19937_64 source_;
};

duration to_duration(double us)
{
    return duration(static_cast<duration::rep>(us));
}

double to_us(duration span)
{
    return static_cast<double>(span.count());
}

//! The true run of one task.
struct drawn_task
{
    duration run{};
    bool fail = false;
};

//! What goes wrong with one job.
struct drawn_trouble
{
    bool wrong_size = false;
    bool wrong_time = false;
    expectation expected = expectation::complete;
    bool straggling = false;
};

duration draw_run(draws& draw, const arrival_shape& shape)
{
    const bool tail = draw.chance(shape.tail_permille);
    const auto least = to_us(tail ? shape.task_most : shape.task_least);
    const auto most = to_us(tail ? shape.tail_most : shape.task_most);
    return to_duration(draw.log_uniform(least, most));
}

std::vector<drawn_task> draw_tasks(draws& draw, const arrival_shape& shape,
                                   const drawn_trouble& trouble)
{
    const auto most = static_cast<double>(shape.tasks_most + 1);
    const auto n = static_cast<std::size_t>(draw.log_uniform(1, most));
    std::vector<drawn_task> tasks(std::clamp<std::size_t>(
        n, 1, static_cast<std::size_t>(shape.tasks_most)));
    for (auto& it : tasks)
        it.run = draw_run(draw, shape);
    if (trouble.straggling)
        tasks[draw.below(tasks.size())].run *= straggler_factor;
    if (trouble.expected == expectation::task_fails)
        tasks[draw.below(tasks.size())].fail = true;
    return tasks;
}

drawn_trouble draw_trouble(draws& draw, const trouble_shape& shape)
{
    drawn_trouble it;
    it.wrong_size = draw.chance(shape.wrong_size);
    it.wrong_time = draw.chance(shape.wrong_time);
    it.straggling = draw.chance(shape.straggling);
    const auto kind = draw.uniform() * thousandths;
    const auto impossible = static_cast<double>(shape.impossible);
    if (kind < impossible)
        it.expected = expectation::impossible;
    else if (kind < impossible + static_cast<double>(shape.failing))
        it.expected = expectation::task_fails;
    return it;
}

std::int64_t to_ms(duration span)
{
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
}

task make_task(const drawn_task& drawn, const drawn_trouble& trouble)
{
    task_options it;
    it.kind = "load";
    it.payload = R"({"run_ms":)" + std::to_string(to_ms(drawn.run)) +
                 (drawn.fail ? R"(,"fail":true})" : "}");
    const auto factor = trouble.wrong_size ? wrong_size_factor : 1U;
    it.need = {usual_processors_milli * factor, usual_memory_mb * factor, 0};
    if (trouble.expected == expectation::impossible)
        it.need.accelerators = impossible_accelerators;
    it.declared_run =
        trouble.wrong_time ? drawn.run / wrong_time_factor : drawn.run;
    return task(std::move(it));
}

customer_id draw_customer(draws& draw, const arrival_shape& shape)
{
    constexpr std::uint64_t permille_per_percent = 10;
    const bool large = shape.customers == 1 ||
                       draw.chance(shape.large_percent * permille_per_percent);
    if (large)
        return customer_id("large");
    const auto others = static_cast<std::size_t>(shape.customers - 1);
    return customer_id("customer-" + std::to_string(draw.below(others) + 1));
}

bool in_burst(const arrival_shape& shape, duration at)
{
    return shape.burst_factor > 1 &&
           at % shape.burst_period < shape.burst_length;
}

// Arrivals are drawn at the highest rate and thinned outside of bursts.
std::vector<duration> draw_arrivals(draws& draw, const arrival_shape& shape)
{
    constexpr double us_per_minute = 60e6;
    const auto factor = static_cast<double>(shape.burst_factor);
    const double mean =
        us_per_minute / (static_cast<double>(shape.jobs_per_minute) * factor);
    std::vector<duration> arrivals;
    double at = 0;
    while (true)
    {
        at += draw.exponential(mean);
        const auto when = to_duration(at);
        if (when >= shape.length)
            return arrivals;
        const bool kept = draw.uniform() * factor < 1;
        if (kept || in_burst(shape, when))
            arrivals.push_back(when);
    }
}

job make_job(draws& draw, const experiment& it, const submission_id& id,
             const std::vector<drawn_task>& drawn, const drawn_trouble& trouble)
{
    job_options options;
    options.submission = id;
    options.customer = draw_customer(draw, it->arrivals);
    options.time_limit = it->arrivals.time_limit;
    for (const auto& one : drawn)
        options.tasks.push_back(make_task(one, trouble));
    return job(std::move(options));
}

bool in_cancel_wave(const trouble_shape& shape, duration at)
{
    return shape.cancel_at > duration(0) && at >= shape.cancel_at &&
           at < shape.cancel_at + shape.cancel_length;
}

planned_job plan_job(draws& draw, const experiment& it, duration at,
                     const submission_id& id)
{
    const auto trouble = draw_trouble(draw, it->trouble);
    const auto drawn = draw_tasks(draw, it->arrivals, trouble);
    planned_job_options planned;
    planned.at = at;
    planned.entry = draw.below(static_cast<std::size_t>(it->fleet.entries));
    planned.work = make_job(draw, it, id, drawn, trouble);
    planned.expected = trouble.expected;
    for (const auto& one : drawn)
    {
        planned.longest_task = std::max(planned.longest_task, one.run);
        planned.total_work += one.run;
    }
    if (draw.chance(it->trouble.resubmitted))
        planned.resubmit_after = it->trouble.resubmit_after;
    const bool cancel = draw.chance(it->trouble.cancel_share);
    const bool plain = planned.expected == expectation::complete;
    if (cancel && plain && in_cancel_wave(it->trouble, at))
    {
        planned.cancel_after = it->trouble.cancel_after;
        planned.expected = expectation::cancelled;
    }
    return planned_job(std::move(planned));
}

} // namespace

std::vector<planned_job> make_plan(const experiment& it, const std::string& run)
{
    draws draw(it->seed);
    std::vector<planned_job> plan;
    for (const auto& at : draw_arrivals(draw, it->arrivals))
    {
        const submission_id id(run + "-" + std::to_string(plan.size()));
        plan.push_back(plan_job(draw, it, at, id));
    }
    return plan;
}

duration ideal_response(const planned_job& planned, duration round_trips,
                        std::uint64_t usable_slots)
{
    const auto slots =
        static_cast<duration::rep>(std::max<std::uint64_t>(usable_slots, 1));
    const auto spread = planned->total_work / slots;
    return round_trips + std::max(planned->longest_task, spread);
}

} // namespace lagoonquay::load
