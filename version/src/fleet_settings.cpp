#include "lagoonquay/version/fleet_settings.hpp"

#include "lagoonquay/version/ini_file.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view exception_prefix = "customer:";
constexpr std::size_t shortest_reason = 10;
constexpr std::uint64_t most_weight = 1000;
constexpr std::uint64_t most_tasks = 1000000;
constexpr std::uint64_t most_agents = 1024;

std::uint32_t read_number(ini_file& file, std::string_view section,
                          std::string_view key, std::uint32_t fallback,
                          std::uint64_t most)
{
    return static_cast<std::uint32_t>(
        file.number_or(section, key, fallback, 1, most));
}

route_policy read_policy(ini_file& file, route_policy fallback)
{
    const auto name =
        file.text_or("routing", "policy", std::string(to_text(fallback)));
    const auto policy = route_policy_from(name);
    if (!policy)
        file.reject("routing", "policy", "'" + name + "' is no policy");
    return policy.value_or(fallback);
}

customer_limits read_limits(ini_file& file, std::string_view section,
                            const customer_limits& defaults)
{
    customer_limits limits;
    limits.weight =
        read_number(file, section, "weight", defaults.weight, most_weight);
    limits.queued_tasks = read_number(file, section, "queued_tasks",
                                      defaults.queued_tasks, most_tasks);
    return limits;
}

// An exception without a reason that says something is refused.
std::string read_reason(ini_file& file, const std::string& section)
{
    auto reason = file.text(section, "reason");
    if (reason.size() < shortest_reason)
        file.reject(section, "reason",
                    "must say why, in " + std::to_string(shortest_reason) +
                        " letters or more");
    return reason;
}

void read_exceptions(ini_file& file, fleet_settings_options& into)
{
    for (const auto& section : file.sections())
    {
        if (!section.starts_with(exception_prefix))
            continue;
        const customer_id customer(section.substr(exception_prefix.size()));
        if (customer.empty())
            file.reject(section, "reason", "names no customer");
        if (into.exceptions.size() >= most_exceptions)
            file.reject(section, "reason",
                        "is one exception too many; " +
                            std::to_string(most_exceptions) + " may stand");
        const auto limits = read_limits(file, section, into.customers);
        if (limits == into.customers)
            file.reject(section, "weight",
                        "differs in nothing from [customers]");
        into.exceptions[customer] = {limits, read_reason(file, section)};
    }
}

quarantine_settings read_quarantine(ini_file& file)
{
    const std::string section = "quarantine";
    quarantine_settings it;
    it.failures = read_number(file, section, "failures", it.failures, 100);
    it.first_pause =
        file.duration_or(section, "first_pause", it.first_pause,
                         std::chrono::milliseconds(100), std::chrono::hours(1));
    it.longest_pause =
        file.duration_or(section, "longest_pause", it.longest_pause,
                         std::chrono::milliseconds(100), std::chrono::hours(1));
    if (it.longest_pause < it.first_pause)
        file.reject(section, "longest_pause", "is shorter than first_pause");
    return it;
}

} // namespace

version_result<fleet_settings> parse_fleet_settings(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto file, ini_file::parse(text, "fleet settings"));
    fleet_settings_options it;
    it.routing = read_policy(file, it.routing);
    it.subset_agents = read_number(file, "routing", "subset_agents",
                                   it.subset_agents, most_agents);
    it.queued_tasks = read_number(file, "admission", "queued_tasks",
                                  it.queued_tasks, most_tasks);
    it.customers = read_limits(file, "customers", it.customers);
    read_exceptions(file, it);
    it.quarantine = read_quarantine(file);
    it.ramp =
        file.duration_or("slow_start", "ramp", it.ramp,
                         std::chrono::milliseconds(1), std::chrono::minutes(5));
    BOOST_OUTCOME_TRY(file.finish());
    return fleet_settings(std::move(it));
}

const customer_limits& limits_of(const fleet_settings& settings,
                                 const customer_id& customer)
{
    const auto it = settings->exceptions.find(customer);
    return it == settings->exceptions.end() ? settings->customers
                                            : it->second.limits;
}

} // namespace lagoonquay
