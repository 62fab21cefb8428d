#include "subset_bench.hpp"

#include "bench_fleet.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lagoonquay
{

namespace
{

//! Jobs of equal tasks whose run times vary.
struct job_kind
{
    const char* name;
    std::uint32_t tasks;
    duration run;
    double share; //!< of the jobs
};

constexpr std::array<job_kind, 3> kinds{{
    {"short and wide", 8, std::chrono::milliseconds(60), 0.24},
    {"long", 4, std::chrono::milliseconds(900), 0.05},
    {"narrow", 2, std::chrono::milliseconds(200), 0.71},
}};

bench_job draw_job(std::mt19937_64& draw)
{
    std::uniform_real_distribution<double> part(0, 1);
    auto left = part(draw);
    const auto* kind = kinds.data();
    while (left >= kind->share && kind != &kinds.back())
        left -= (kind++)->share;
    bench_job asked;
    asked.customer = customer_id(kind->name);
    asked.time_limit = std::chrono::milliseconds(2500);
    for (std::uint32_t n = 0; n < kind->tasks; ++n)
    {
        const auto scale = 0.6 + 0.8 * part(draw);
        const auto run = static_cast<duration::rep>(
            scale * static_cast<double>(kind->run.count()));
        asked.runs.emplace_back(run);
        asked.declared.push_back(kind->run);
        asked.kinds.emplace_back(kind->name);
    }
    return asked;
}

double mean_work_us()
{
    double work = 0;
    for (const auto& it : kinds)
        work += it.share * it.tasks * static_cast<double>(it.run.count());
    return work;
}

void offer(bench_fleet& fleet, std::mt19937_64& draw, double gap_us,
           instant end)
{
    std::exponential_distribution<double> wait(1 / gap_us);
    const duration gap(static_cast<duration::rep>(wait(draw)));
    fleet.clock().after(gap,
                        [&fleet, &draw, gap_us, end]
                        {
                            if (fleet.clock().now() >= end)
                                return;
                            fleet.submit(draw_job(draw));
                            offer(fleet, draw, gap_us, end);
                        });
}

void print_row(const subset_figures& found, std::uint32_t subset)
{
    const auto at = [&](std::size_t percent)
    {
        const auto& waits = found.waits;
        return waits.empty() ? 0 : waits[(waits.size() - 1) * percent / 100];
    };
    std::printf("%8u %8zu %8zu %9.3f %9.3f %8.1f %8.1f %8.1f\n", subset,
                found.waits.size(), found.refused, found.moves_per_task,
                found.grants_per_task, at(50), at(95), at(99));
}

subset_figures figures_of(const bench_fleet& fleet)
{
    subset_figures found;
    std::uint64_t moves = 0;
    for (const auto& it : fleet.outcomes())
    {
        moves += it.moves;
        if (it.refused)
        {
            ++found.refused;
            continue;
        }
        const auto wait = it.response - it.ideal;
        found.waits.push_back(static_cast<double>(wait.count()) / 1000);
    }
    std::sort(found.waits.begin(), found.waits.end());
    const auto& n = fleet.counts();
    const auto tasks = static_cast<double>(n.dispatches - moves);
    found.moves_per_task = static_cast<double>(moves) / tasks;
    found.grants_per_task = static_cast<double>(n.grants) / tasks;
    return found;
}

} // namespace

subset_figures run_subset(const subset_run& what)
{
    bench_fleet fleet({.entries = what.entries,
                       .agents = what.agents,
                       .slots = what.slots,
                       .domains = 5,
                       .subset = what.subset,
                       .one_way = std::chrono::milliseconds(1),
                       .seed = what.seed});
    std::mt19937_64 draw(what.seed);
    const auto end = fleet.clock().now() + what.length;
    const auto slots = what.load * what.agents * what.slots;
    offer(fleet, draw, mean_work_us() / slots, end);
    fleet.clock().run_until(end + std::chrono::seconds(5));
    return figures_of(fleet);
}

void measure_subsets(std::uint64_t seed, double load)
{
    const subset_run fleet;
    std::printf("\n%u entries, %u workers of %u slots, load %.2f; waits in ms "
                "beyond the ideal\n%8s %8s %8s %9s %9s %8s %8s %8s\n",
                fleet.entries, fleet.agents, fleet.slots, load, "subset",
                "jobs", "refused", "moves", "grants", "p50", "p95", "p99");
    for (const std::uint32_t subset : {8U, 12U, 16U, 24U, 32U, 48U, 128U, 240U})
        print_row(run_subset({.subset = subset, .load = load, .seed = seed}),
                  subset);
}

} // namespace lagoonquay
