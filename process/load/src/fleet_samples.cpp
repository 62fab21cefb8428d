#include "lagoonquay/load/fleet_samples.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace lagoonquay::load
{

namespace
{

constexpr std::size_t id_bytes = 128;

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::uint64_t count_of(json_fields& fields, std::string_view key)
{
    return fields.number_or(key, 0, 0, json_exact_limit);
}

//! Starts counted at an agent by a point in time.
struct seen_starts
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

} // namespace

process_result<agent_sample> decode_agent_state(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document)
        return fail(process_errc::bad_settings, document.error().detail);
    json_fields fields(document.value(), "state");
    agent_sample it;
    it.agent = fields.text("id", id_bytes);
    it.domain = fields.text("domain", id_bytes);
    it.running = count_of(fields, "running");
    it.started = count_of(fields, "started");
    if (fields.failed())
        return fail(process_errc::bad_settings, fields.error().detail);
    return it;
}

process_result<entry_sample> decode_entry_state(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document)
        return fail(process_errc::bad_settings, document.error().detail);
    json_fields fields(document.value(), "state");
    const entry_sample it{count_of(fields, "dispatched"),
                          count_of(fields, "requeued"),
                          count_of(fields, "dropped_results")};
    if (fields.failed())
        return fail(process_errc::bad_settings, fields.error().detail);
    return it;
}

std::vector<point> running_over_time(const std::vector<agent_sample>& samples)
{
    std::map<std::string, std::uint64_t> latest;
    std::uint64_t total = 0;
    std::vector<point> curve;
    for (const auto& it : samples)
    {
        auto& known = latest[it.agent];
        total += it.running;
        total -= known;
        known = it.running;
        curve.push_back({to_seconds(it.at), static_cast<double>(total)});
    }
    return curve;
}

double area_between(const std::vector<point>& curve, double from, double to)
{
    double area = 0;
    for (std::size_t n = 0; n + 1 < curve.size(); ++n)
    {
        const double begin = std::max(curve[n].x, from);
        const double end = std::min(curve[n + 1].x, to);
        if (end > begin)
            area += curve[n].y * (end - begin);
    }
    return area;
}

std::uint64_t starts_between(const std::vector<agent_sample>& samples,
                             const std::string& domain, duration from,
                             duration to)
{
    std::map<std::string, seen_starts> seen;
    for (const auto& it : samples)
    {
        if (it.domain != domain || it.at < from || it.at > to)
            continue;
        const auto [found, fresh] =
            seen.try_emplace(it.agent, seen_starts{it.started, it.started});
        found->second.last = it.started;
    }
    std::uint64_t total = 0;
    for (const auto& [agent, it] : seen)
        total += it.last - it.first;
    return total;
}

} // namespace lagoonquay::load
