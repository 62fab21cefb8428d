//! Metrics of a process in the Prometheus text format.
#pragma once

#include "lagoonquay/process/latency_statistics.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonquay
{

enum class metric_kind
{
    counter, //!< only rises while the process runs
    gauge,
};

//! One number of a process.
struct metric_sample
{
    std::string name;
    std::string help;
    metric_kind kind = metric_kind::counter;
    std::uint64_t value = 0;
    //! As `name="text"`, or empty. Samples of one name follow each other.
    std::string label = {};

    friend bool operator==(const metric_sample&,
                           const metric_sample&) = default;
};

//! One set of durations of a process.
struct latency_sample
{
    std::string name; //!< ends in _seconds
    std::string help;
    latency_summary summary;

    friend bool operator==(const latency_sample&,
                           const latency_sample&) = default;
};

//! All metrics of a process.
struct process_metrics
{
    std::vector<metric_sample> samples;
    std::vector<latency_sample> latencies;

    friend bool operator==(const process_metrics&,
                           const process_metrics&) = default;
};

//! @return what is left of a process's permit from control.
metric_sample permit_left_sample(duration left);

//! @return for how long a dependency has not been heard. One that never was
//! counts from the start of the process.
metric_sample silence_sample(const std::string& dependency, duration silence);

//! Media type of encode_metrics().
constexpr const char* metrics_content_type = "text/plain; version=0.0.4";

//! @return the metrics as a scraper reads them.
std::string encode_metrics(const process_metrics& metrics);

//! @return the state dump with the latencies added as "latencies".
std::string add_latencies(const std::string& dump,
                          const process_metrics& metrics);

} // namespace lagoonquay
