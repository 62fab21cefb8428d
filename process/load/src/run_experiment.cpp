#include "lagoonquay/load/run_experiment.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/load/fleet_client.hpp"
#include "lagoonquay/load/run_figures.hpp"
#include "lagoonquay/process/io_threads.hpp"

#include <fstream>
#include <iostream>
#include <thread>

namespace lagoonquay::load
{

namespace
{

constexpr std::size_t threads = 2;
constexpr duration sample_period = std::chrono::milliseconds(250);
constexpr duration progress_period = std::chrono::seconds(2);
constexpr duration ready_period = std::chrono::milliseconds(100);
constexpr duration ready_timeout = std::chrono::seconds(20);
//! From ready entries to the last agent's link and announcement.
constexpr duration settle_time = std::chrono::milliseconds(1500);

//! Collects samples from several threads.
class sample_log
{
public:
    explicit sample_log(instant start) : start_(start)
    {
    }

    void add(agent_sample it)
    {
        const std::lock_guard lock(mutex_);
        it.at = steady_now() - start_;
        samples_.push_back(std::move(it));
    }

    std::vector<agent_sample> take()
    {
        const std::lock_guard lock(mutex_);
        return std::move(samples_);
    }

private:
    const instant start_;
    std::mutex mutex_;
    std::vector<agent_sample> samples_;
};

bool wait_ready(const experiment& it, const std::string& run,
                fleet_client& fleet)
{
    const auto until = steady_now() + ready_timeout;
    while (!fleet.ready())
    {
        if (steady_now() > until)
            return false;
        std::this_thread::sleep_for(ready_period);
    }
    const auto settings = make_fleet_settings(it->fleet);
    if (!settings.empty())
        fleet.set_fleet_settings(settings, run + "-settings");
    std::this_thread::sleep_for(settle_time);
    return true;
}

std::vector<std::string> read_records(const experiment& it,
                                      const std::string& folder)
{
    std::vector<std::string> lines;
    for (std::size_t n = 0; n < it->fleet.workers; ++n)
    {
        std::ifstream in(folder + "/upstream-" + std::to_string(n) + ".starts");
        std::string line;
        while (std::getline(in, line))
            lines.push_back(line);
    }
    return lines;
}

std::vector<role_cost> cost_so_far(const std::vector<fleet_process>& processes)
{
    std::vector<role_cost> costs;
    for (const auto* role : {"entry", "agent", "control", "upstream"})
        costs.push_back({role, usage_of(processes, role), {}});
    return costs;
}

void finish_costs(std::vector<role_cost>& costs,
                  const std::vector<fleet_process>& processes)
{
    for (auto& it : costs)
        it.after = usage_of(processes, it.role);
}

runner_hooks make_hooks(fleet_client& fleet, io_threads& io)
{
    return {.now = steady_now,
            .wall = wall_now,
            .after = [&io](duration delay, std::function<void()> work)
            { io.after(delay, std::move(work)); },
            .submit = [&fleet](std::size_t entry, const job& work,
                               const reply_hook& done)
            { fleet.submit(entry, work, done); },
            .cancel =
                [&fleet](std::size_t entry, const submission_id& id)
            {
                fleet.cancel(entry, id);
            }};
}

void schedule_change(const experiment& it, const std::string& run,
                     fleet_client& fleet, io_threads& io)
{
    const auto domain = it->change.domain;
    if (domain.empty())
        return;
    io.after(it->change.out_at, [&fleet, domain, run]
             { fleet.set_domain_service(domain, false, run + "-out"); });
    io.after(it->change.in_at, [&fleet, domain, run]
             { fleet.set_domain_service(domain, true, run + "-in"); });
}

void show_progress(const job_runner& runner)
{
    std::cerr << "sent " << runner.sent() << ", answered " << runner.answered()
              << "\n";
}

} // namespace

process_result<run_result> run_experiment(const experiment& it,
                                          const run_options& options)
{
    const auto processes = read_processes(options.folder + "/pids");
    auto plan = make_plan(it, options.run);
    io_threads io(threads);
    http_client client(io.context(), {});
    fleet_client fleet(client, fleet_layout(it->fleet));
    if (!wait_ready(it, options.run, fleet))
        return fail(process_errc::bad_listen, "the fleet does not get ready");

    run_observations seen;
    seen.before = fleet.sum_entries();
    seen.costs = cost_so_far(processes);
    const auto start = steady_now();
    sample_log samples(start);
    job_runner runner(std::move(plan), it->fleet.entries,
                      make_hooks(fleet, io));
    runner.start();
    schedule_change(it, options.run, fleet, io);
    io.every(sample_period,
             [&]
             {
                 fleet.sample_agents([&samples](agent_sample one)
                                     { samples.add(std::move(one)); });
             });
    if (options.progress)
        io.every(progress_period, [&] { show_progress(runner); });
    runner.wait();
    seen.length = steady_now() - start;
    finish_costs(seen.costs, processes);
    seen.after = fleet.sum_entries();
    io.stop();
    seen.agents = samples.take();
    seen.outcomes = runner.outcomes();
    seen.starts =
        count_starts(read_records(it, options.folder), options.run + "-");
    return make_result(it, seen);
}

} // namespace lagoonquay::load
