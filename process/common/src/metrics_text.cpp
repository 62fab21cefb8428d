#include "lagoonquay/process/metrics_text.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void write_header(std::ostream& out, const std::string& name,
                  const std::string& help, std::string_view type)
{
    out << "# HELP " << name << " " << help << "\n";
    out << "# TYPE " << name << " " << type << "\n";
}

void write_sample(std::ostream& out, const metric_sample& it,
                  std::string_view previous)
{
    if (it.name != previous)
        write_header(out, it.name, it.help,
                     it.kind == metric_kind::counter ? "counter" : "gauge");
    out << it.name;
    if (!it.label.empty())
        out << "{" << it.label << "}";
    out << " " << it.value << "\n";
}

void write_latency(std::ostream& out, const latency_sample& it)
{
    write_header(out, it.name, it.help, "histogram");
    for (std::size_t n = 0; n < latency_bounds.size(); ++n)
        out << it.name << "_bucket{le=\"" << in_seconds(latency_bounds[n])
            << "\"} " << it.summary.up_to[n] << "\n";
    out << it.name << "_bucket{le=\"+Inf\"} " << it.summary.count << "\n";
    out << it.name << "_sum " << in_seconds(it.summary.total) << "\n";
    out << it.name << "_count " << it.summary.count << "\n";
}

json::object latency_to_json(const latency_summary& it)
{
    const auto count = static_cast<std::int64_t>(it.count);
    const auto mean = count == 0 ? 0 : it.total.count() / count;
    return {{"count", it.count},
            {"mean_us", mean},
            {"longest_us", it.longest.count()}};
}

std::uint64_t whole_milliseconds(duration span)
{
    const auto whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

} // namespace

metric_sample permit_left_sample(duration left)
{
    return {.name = "lagoonquay_permit_left_milliseconds",
            .help = "What is left of the permit from control.",
            .kind = metric_kind::gauge,
            .value = whole_milliseconds(left)};
}

metric_sample silence_sample(const std::string& dependency, duration silence)
{
    return {.name = "lagoonquay_silence_milliseconds",
            .help = "Time since a dependency was last heard.",
            .kind = metric_kind::gauge,
            .value = whole_milliseconds(silence),
            .label = "dependency=\"" + dependency + "\""};
}

std::string encode_metrics(const process_metrics& metrics)
{
    constexpr int digits = 12;
    std::ostringstream out;
    out << std::setprecision(digits);
    std::string_view previous;
    for (const auto& it : metrics.samples)
    {
        write_sample(out, it, previous);
        previous = it.name;
    }
    for (const auto& it : metrics.latencies)
        write_latency(out, it);
    return out.str();
}

std::string add_latencies(const std::string& dump,
                          const process_metrics& metrics)
{
    boost::system::error_code ec;
    auto state = json::parse(dump, ec);
    if (ec || !state.is_object())
        return dump;
    json::object latencies;
    for (const auto& it : metrics.latencies)
        latencies[it.name] = latency_to_json(it.summary);
    state.as_object()["latencies"] = std::move(latencies);
    return json::serialize(state);
}

} // namespace lagoonquay
