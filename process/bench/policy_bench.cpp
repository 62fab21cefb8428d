//! lagoonquay-policy-bench: measures the policy under load on virtual time.
#include "bench_fleet.hpp"
#include "subset_bench.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

namespace lagoonquay
{

namespace
{

constexpr std::uint32_t total_slots = 88;
//! The large customer has an exception, as operators give it.
const std::string exception = "[customer:large]\nweight = 60\n"
                              "reason = larger than all others together\n";
const customer_id large("large");

//! What a run offers to the fleet.
struct workload
{
    double load = 0.8;        //!< offered work over slots
    double large_part = 0.6;  //!< of the offered work
    std::uint32_t small = 10; //!< other customers
    std::uint32_t widest = 24;
    duration time_limit = std::chrono::seconds(30);
    duration length = std::chrono::seconds(120);
    std::uint64_t seed = 1;
};

//! Draws jobs of one customer at random times.
class job_source
{
public:
    explicit job_source(const workload& what) : what_(what), draw_(what.seed)
    {
    }

    bench_job next(const customer_id& customer)
    {
        bench_job asked;
        asked.customer = customer;
        asked.time_limit = what_.time_limit;
        const auto n = 1 + draw_() % what_.widest;
        for (std::uint64_t at = 0; at < n; ++at)
        {
            const auto kind = draw_kind();
            asked.runs.push_back(draw_run(kind));
            asked.declared.push_back(misdeclare(asked.runs.back()));
            asked.kinds.push_back(customer.text() + std::to_string(kind));
        }
        return asked;
    }

    //! @return the time to the next job of a customer that offers `slots`.
    duration gap(double slots)
    {
        const auto mean_job = 0.5 * (1 + what_.widest) * mean_run_us();
        std::exponential_distribution<double> wait(slots / mean_job);
        return duration(static_cast<duration::rep>(wait(draw_)));
    }

private:
    // Eight common kinds of 50 ms to 1 s by the logarithm, and a rare long one.
    std::uint64_t draw_kind()
    {
        return draw_() % 50 == 0 ? kinds : draw_() % kinds;
    }

    duration draw_run(std::uint64_t kind)
    {
        std::uniform_real_distribution<double> part(0, 1);
        if (kind == kinds)
            return duration(2000000 + draw_() % 4000000);
        const auto step = (static_cast<double>(kind) + part(draw_)) / kinds;
        return duration(
            static_cast<duration::rep>(50000 * std::pow(20.0, step)));
    }

    static double mean_run_us()
    {
        const double common = (1000 - 50) / std::log(20.0) * 1000;
        return 0.98 * common + 0.02 * 4000000;
    }

    // A third is far too low, a third is not declared.
    duration misdeclare(duration run)
    {
        switch (draw_() % 3)
        {
        case 0:
            return run / 5;
        case 1:
            return {};
        default:
            return run;
        }
    }

    static constexpr std::uint64_t kinds = 8;

    workload what_;
    std::mt19937_64 draw_;
};

void offer(bench_fleet& fleet, const std::shared_ptr<job_source>& source,
           const customer_id& customer, double slots, instant end)
{
    fleet.clock().after(source->gap(slots),
                        [&fleet, source, customer, slots, end]
                        {
                            if (fleet.clock().now() >= end)
                                return;
                            fleet.submit(source->next(customer));
                            offer(fleet, source, customer, slots, end);
                        });
}

void offer_all(bench_fleet& fleet, const workload& what)
{
    const auto source = std::make_shared<job_source>(what);
    const auto end = fleet.clock().now() + what.length;
    const auto slots = what.load * total_slots;
    offer(fleet, source, large, slots * what.large_part, end);
    for (std::uint32_t n = 0; n < what.small; ++n)
        offer(fleet, source, customer_id("small" + std::to_string(n)),
              slots * (1 - what.large_part) / what.small, end);
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(last * part))];
}

using chosen_hook = std::function<bool(const bench_outcome&)>;

std::vector<double> ratios(const bench_fleet& fleet, const chosen_hook& chosen)
{
    std::vector<double> found;
    for (const auto& it : fleet.outcomes())
    {
        if (it.refused || !chosen(it))
            continue;
        found.push_back(static_cast<double>(it.response.count()) /
                        static_cast<double>(it.ideal.count()));
    }
    return found;
}

double refused_part(const bench_fleet& fleet, const chosen_hook& chosen)
{
    double refused = 0;
    double all = 0;
    for (const auto& it : fleet.outcomes())
    {
        if (!chosen(it))
            continue;
        ++all;
        refused += it.refused ? 1 : 0;
    }
    return all > 0 ? refused / all : 0;
}

double wasted(const bench_fleet& fleet)
{
    const auto& n = fleet.counts();
    const auto tasks = static_cast<double>(n.dispatches - n.declined);
    return static_cast<double>(n.grants + 2 * n.declined) / tasks;
}

void print_row(const std::string& name, const bench_fleet& fleet,
               const chosen_hook& chosen)
{
    const auto all = ratios(fleet, chosen);
    std::printf("%-34s %6zu %7.3f %7.3f %7.3f %8.2f %7.3f %8.4f\n",
                name.c_str(), all.size(), quantile(all, 0.5),
                quantile(all, 0.99), quantile(all, 0.999), quantile(all, 1),
                refused_part(fleet, chosen), wasted(fleet));
}

void print_head(const std::string& title)
{
    std::printf("\n%s\n%-34s %6s %7s %7s %7s %8s %7s %8s\n", title.c_str(), "",
                "jobs", "p50", "p99", "p99.9", "worst", "refused", "wasted");
}

bool any(const bench_outcome&)
{
    return true;
}

bool is_small(const bench_outcome& it)
{
    return it.customer != large;
}

void run(bench_fleet& fleet, const workload& what)
{
    offer_all(fleet, what);
    fleet.clock().run_until(fleet.clock().now() + what.length +
                            std::chrono::seconds(40));
}

std::string policy_settings(std::string_view policy)
{
    return exception + "[routing]\npolicy = " + std::string(policy) + "\n";
}

void compare_policies(const workload& what, std::uint32_t entries,
                      std::uint32_t domains, duration one_way)
{
    print_head("load " + std::to_string(what.load) + ", entries " +
               std::to_string(entries) + ", widest job " +
               std::to_string(what.widest));
    bench_fleet central({.entries = 1,
                         .agents = 1,
                         .slots = total_slots,
                         .domains = 1,
                         .one_way = one_way,
                         .settings = exception + "[slow_start]\nramp = 1ms\n",
                         .seed = what.seed});
    run(central, what);
    print_row("one queue, one worker", central, any);
    for (const auto policy :
         {route_policy::random, route_policy::round_robin,
          route_policy::least_outstanding, route_policy::two_choices,
          route_policy::slot_credits})
    {
        bench_fleet fleet({.entries = entries,
                           .domains = domains,
                           .one_way = one_way,
                           .settings = policy_settings(to_text(policy)),
                           .seed = what.seed});
        run(fleet, what);
        print_row(std::string(to_text(policy)), fleet, any);
    }
}

double work_per_second(const bench_fleet& fleet, duration length)
{
    return static_cast<double>(fleet.counts().work_done.count()) /
           static_cast<double>(length.count());
}

// The large customer floods: its offer is what rises.
void measure_flood(workload what)
{
    print_head("flood by the large customer (small ones offer 0.32)");
    for (const double load : {0.8, 1.0, 2.0, 4.0})
    {
        what.load = load;
        what.large_part = (load - 0.32) / load;
        what.time_limit = std::chrono::seconds(5);
        bench_fleet fleet({.settings = exception, .seed = what.seed});
        offer_all(fleet, what);
        fleet.clock().run_until(fleet.clock().now() + what.length);
        print_row("load " + std::to_string(load) + ", small ones", fleet,
                  is_small);
        print_row("load " + std::to_string(load) + ", large one", fleet,
                  [](const auto& it) { return it.customer == large; });
        std::printf("    useful work %.2f of %u slots, most at a worker %u\n",
                    work_per_second(fleet, what.length), total_slots,
                    fleet.counts().most_running);
    }
}

void measure_quarantine(const workload& what)
{
    std::printf("\none worker fails every task after 5 ms for 60 s\n");
    for (const auto* failures : {"100", "3"})
    {
        bench_fleet fleet(
            {.settings = exception + "[quarantine]\nfailures = " + failures,
             .seed = what.seed});
        fleet.clock().after(std::chrono::seconds(20),
                            [&] { fleet.set_failing(0, true); });
        fleet.clock().after(std::chrono::seconds(80),
                            [&] { fleet.set_failing(0, false); });
        run(fleet, what);
        std::uint64_t harmed = 0;
        for (const auto& it : fleet.outcomes())
            harmed += it.failed_tasks;
        std::printf("    set aside after %s failures: %llu tasks failed\n",
                    failures, static_cast<unsigned long long>(harmed));
    }
}

// At full load, one failure domain of three is out for the middle third.
void measure_domain(workload what)
{
    std::printf("\na failure domain leaves at 40 s and returns at 80 s\n");
    what.load = 1.5;
    what.time_limit = std::chrono::seconds(10);
    bench_fleet fleet({.settings = exception, .seed = what.seed});
    offer_all(fleet, what);
    const auto began = fleet.clock().now();
    auto before = fleet.counts();
    for (int part = 0; part < 12; ++part)
    {
        if (part == 4 || part == 8)
            fleet.set_domain(0, part == 8);
        fleet.clock().run_until(began + (part + 1) * std::chrono::seconds(10));
        const auto& now = fleet.counts();
        const bool out = part >= 4 && part < 8;
        const double slots = out ? 56 : 88;
        const auto work = now.work_done - before.work_done;
        std::printf(
            "    %3d s: %.3f of the slots in service, %llu moved\n",
            (part + 1) * 10, static_cast<double>(work.count()) / 1e7 / slots,
            static_cast<unsigned long long>(now.declined - before.declined));
        before = now;
    }
}

// Wall time of one dispatch and its result, with half of the slots in use.
double dispatch_cost_us(std::uint32_t agents, std::uint32_t customers)
{
    bench_fleet fleet({.entries = 1, .agents = agents, .admission = false});
    fleet.clock().run_until(fleet.clock().now() + std::chrono::seconds(2));
    constexpr int rounds = 40;
    const auto width = agents * 4;
    const auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n)
    {
        for (std::uint32_t at = 0; at < width; ++at)
        {
            bench_job asked;
            asked.customer = customer_id(
                "c" + std::to_string((at + static_cast<std::uint32_t>(n)) %
                                     customers));
            asked.runs.emplace_back(50000 + at);
            asked.declared.emplace_back(50000);
            asked.kinds.emplace_back("kind");
            fleet.submit(asked);
        }
        fleet.clock().run_until(fleet.clock().now() +
                                std::chrono::milliseconds(100));
    }
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - began;
    return took.count() / (rounds * width);
}

void measure_cost()
{
    std::printf("\nmicroseconds per task (submit, dispatch, result, bench)\n");
    for (const std::uint32_t agents : {11U, 32U, 64U, 128U, 256U})
    {
        std::printf("    %4u agents:", agents);
        for (const std::uint32_t customers : {1U, 66U, 660U})
            std::printf("  %4u customers %7.2f", customers,
                        dispatch_cost_us(agents, customers));
        std::printf("\n");
    }
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    cxxopts::Options options("lagoonquay-policy-bench",
                             "Measures the policy on virtual time.");
    options.add_options()("load", "offered work over slots",
                          cxxopts::value<double>()->default_value("0.8"))(
        "widest", "most tasks of a job",
        cxxopts::value<std::uint32_t>()->default_value("24"))(
        "entries", "entries",
        cxxopts::value<std::uint32_t>()->default_value("3"))(
        "seed", "of the offered jobs",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "part", "policies, flood, quarantine, domain, cost, subsets or all",
        cxxopts::value<std::string>()->default_value("all"));
    const auto parsed = options.parse(argc, argv);
    workload what;
    what.load = parsed["load"].as<double>();
    what.widest = parsed["widest"].as<std::uint32_t>();
    what.seed = parsed["seed"].as<std::uint64_t>();
    const auto part = parsed["part"].as<std::string>();
    const auto wants = [&](const char* name)
    {
        return part == "all" || part == name;
    };
    if (wants("policies"))
        compare_policies(what, parsed["entries"].as<std::uint32_t>(), 3,
                         std::chrono::microseconds(1500));
    if (wants("flood"))
        measure_flood(what);
    if (wants("quarantine"))
        measure_quarantine(what);
    if (wants("domain"))
        measure_domain(what);
    if (wants("cost"))
        measure_cost();
    if (wants("subsets"))
        measure_subsets(what.seed, what.load);
    return 0;
}
