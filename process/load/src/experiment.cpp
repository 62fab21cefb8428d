#include "lagoonquay/load/experiment.hpp"

#include "lagoonquay/version/ini_file.hpp"

namespace lagoonquay::load
{

namespace
{

constexpr duration longest = std::chrono::hours(1);
constexpr std::uint64_t most_processes = 200;
constexpr std::uint64_t most_count = 1000000;
constexpr std::uint64_t all = 1000; //!< thousandths

fleet_shape read_fleet(ini_file& file)
{
    const auto count =
        [&](const char* key, std::uint64_t fallback, std::uint64_t most)
    {
        return file.number_or("fleet", key, fallback, 1, most);
    };
    fleet_shape it;
    it.subnet = file.text_or("fleet", "subnet", it.subnet);
    it.entries = count("entries", it.entries, 50);
    it.controls = count("controls", it.controls, 7);
    it.workers = count("workers", it.workers, most_processes / 2);
    it.slots = count("slots", it.slots, most_count);
    it.domains = count("domains", it.domains, it.workers);
    it.processors = count("processors", it.processors, most_count);
    it.memory_mb = count("memory_mb", it.memory_mb, most_count);
    it.routing = file.text_or("fleet", "routing", "");
    it.subset = file.number_or("fleet", "subset", 0, 0, most_count);
    it.weight = file.number_or("fleet", "weight", 0, 0, 1000);
    return it;
}

arrival_shape read_arrivals(ini_file& file)
{
    const auto count = [&](const char* key, std::uint64_t fallback,
                           std::uint64_t least, std::uint64_t most)
    {
        return file.number_or("arrivals", key, fallback, least, most);
    };
    const auto span = [&](const char* key, duration fallback)
    {
        return file.duration_or("arrivals", key, fallback, duration(1),
                                longest);
    };
    arrival_shape it;
    it.length = span("length", it.length);
    it.jobs_per_minute =
        count("jobs_per_minute", it.jobs_per_minute, 1, most_count);
    it.burst_factor = count("burst_factor", it.burst_factor, 1, 100);
    it.burst_period = span("burst_period", it.burst_period);
    it.burst_length = span("burst_length", it.burst_length);
    it.tasks_most = count("tasks_most", it.tasks_most, 1, 1000);
    it.task_least = span("task_least", it.task_least);
    it.task_most = span("task_most", it.task_most);
    it.tail_most = span("tail_most", it.tail_most);
    it.tail_permille = count("tail_permille", it.tail_permille, 0, all);
    it.customers = count("customers", it.customers, 1, 1000);
    it.large_percent = count("large_percent", it.large_percent, 0, 100);
    it.time_limit = span("time_limit", it.time_limit);
    if (it.task_most < it.task_least)
        file.reject("arrivals", "task_most", "is less than task_least");
    if (it.tail_most < it.task_most)
        file.reject("arrivals", "tail_most", "is less than task_most");
    if (it.burst_length > it.burst_period)
        file.reject("arrivals", "burst_length", "is more than burst_period");
    return it;
}

trouble_shape read_trouble(ini_file& file)
{
    const auto share = [&](const char* key)
    {
        return file.number_or("trouble", key, 0, 0, all);
    };
    const auto span = [&](const char* key, duration fallback)
    {
        return file.duration_or("trouble", key, fallback, duration(0), longest);
    };
    trouble_shape it;
    it.wrong_size = share("wrong_size");
    it.wrong_time = share("wrong_time");
    it.impossible = share("impossible");
    it.failing = share("failing");
    it.straggling = share("straggling");
    it.resubmitted = share("resubmitted");
    it.resubmit_after = span("resubmit_after", it.resubmit_after);
    it.cancel_at = span("cancel_at", it.cancel_at);
    it.cancel_length = span("cancel_length", it.cancel_length);
    it.cancel_share = share("cancel_share");
    it.cancel_after = span("cancel_after", it.cancel_after);
    if (it.impossible + it.failing > all)
        file.reject("trouble", "failing", "and impossible exceed 1000");
    return it;
}

domain_change read_change(ini_file& file, const arrival_shape& arrivals)
{
    domain_change it;
    it.domain = file.text_or("domain_change", "domain", "");
    it.out_at =
        file.duration_or("domain_change", "out_at", {}, duration(0), longest);
    it.in_at =
        file.duration_or("domain_change", "in_at", {}, duration(0), longest);
    if (it.domain.empty())
        return it;
    if (it.in_at <= it.out_at)
        file.reject("domain_change", "in_at", "is not after out_at");
    if (it.in_at > arrivals.length)
        file.reject("domain_change", "in_at", "is after the last arrival");
    return it;
}

// Turns the version layer's error into this layer's.
auto bad_settings(const layer_error<version_errc>& error)
{
    return fail(process_errc::bad_settings, error.detail);
}

process_result<experiment> read_experiment(version_result<ini_file> opened)
{
    if (!opened)
        return bad_settings(opened.error());
    auto file = std::move(opened).value();
    experiment_options options;
    options.name = file.text("experiment", "name");
    options.seed =
        file.number_or("experiment", "seed", options.seed, 0, most_count);
    options.round_trips = file.duration_or(
        "experiment", "round_trips", options.round_trips, duration(1), longest);
    options.fleet = read_fleet(file);
    options.arrivals = read_arrivals(file);
    options.trouble = read_trouble(file);
    options.change = read_change(file, options.arrivals);
    const auto finished = file.finish();
    if (!finished)
        return bad_settings(finished.error());
    return experiment(std::move(options));
}

} // namespace

process_result<experiment> parse_experiment(std::string_view text,
                                            const std::string& name)
{
    return read_experiment(ini_file::parse(text, name));
}

process_result<experiment> load_experiment(const std::string& path)
{
    return read_experiment(ini_file::load(path));
}

} // namespace lagoonquay::load
