#include "lagoonquay/process/load_report.hpp"

#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/io_threads.hpp"

#include <iterator>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "load";
constexpr std::uint64_t kilobyte = 1000;

std::int64_t kilobytes_between(std::uint64_t now, std::uint64_t then)
{
    return static_cast<std::int64_t>((now - then) / kilobyte);
}

void write_path(const path_traffic& now, const path_traffic& then)
{
    const auto exchanges =
        static_cast<std::int64_t>(now.exchanges - then.exchanges);
    if (exchanges == 0)
        return;
    write_event(
        log_level::info, part, {}, "traffic",
        {{"path", now.path},
         {"exchanges", exchanges},
         {"unanswered",
          static_cast<std::int64_t>(now.unanswered - then.unanswered)},
         {"sent_kb", kilobytes_between(now.bytes_sent, then.bytes_sent)},
         {"received_kb",
          kilobytes_between(now.bytes_received, then.bytes_received)},
         {"mean_ms", milliseconds_of((now.total - then.total) / exchanges)},
         {"longest_ms", milliseconds_of(now.longest)}});
}

} // namespace

load_report::load_report(io_threads& io, traffic_meter& meter)
    : io_(io), meter_(meter)
{
}

void load_report::write(duration view_age)
{
    write_event(log_level::info, part, {}, "loop",
                {{"delay_ms", milliseconds_of(io_.take_longest_delay())},
                 {"view_age_ms", milliseconds_of(view_age)}});
    write_paths();
}

void load_report::write()
{
    write_event(log_level::info, part, {}, "loop",
                {{"delay_ms", milliseconds_of(io_.take_longest_delay())}});
    write_paths();
}

void load_report::write_paths()
{
    for (const auto& it : meter_.read())
    {
        auto& last = last_[it.path];
        write_path(it, last);
        last = it;
    }
}

std::vector<metric_sample>
traffic_samples(const std::vector<path_traffic>& sums)
{
    std::vector<metric_sample> exchanges;
    std::vector<metric_sample> sent;
    std::vector<metric_sample> received;
    for (const auto& it : sums)
    {
        const auto label = "path=\"" + it.path + "\"";
        exchanges.push_back({.name = "lagoonquay_exchanges_total",
                             .help = "Requests to others, frames of links.",
                             .value = it.exchanges,
                             .label = label});
        sent.push_back({.name = "lagoonquay_sent_bytes_total",
                        .help = "Bodies and frames sent to others.",
                        .value = it.bytes_sent,
                        .label = label});
        received.push_back({.name = "lagoonquay_received_bytes_total",
                            .help = "Bodies and frames received from others.",
                            .value = it.bytes_received,
                            .label = label});
    }
    auto all = std::move(exchanges);
    std::move(sent.begin(), sent.end(), std::back_inserter(all));
    std::move(received.begin(), received.end(), std::back_inserter(all));
    return all;
}

} // namespace lagoonquay
