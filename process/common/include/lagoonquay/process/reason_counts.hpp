//! Counts of answers by their reason. Thread-safe.
#pragma once

#include "lagoonquay/process/metrics_text.hpp"
#include "lagoonquay/request/answer.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonquay
{

class reason_counts
{
public:
    void add(failure_reason reason) noexcept;

    //! @return a counter for each reason, labelled with its name.
    std::vector<metric_sample> samples(const std::string& name,
                                       const std::string& help) const;

private:
    std::array<std::atomic<std::uint64_t>, failure_reasons> counts_{};
};

} // namespace lagoonquay
