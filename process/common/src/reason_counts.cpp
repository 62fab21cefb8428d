#include "lagoonquay/process/reason_counts.hpp"

namespace lagoonquay
{

void reason_counts::add(failure_reason reason) noexcept
{
    ++counts_[static_cast<std::size_t>(reason)];
}

std::vector<metric_sample> reason_counts::samples(const std::string& name,
                                                  const std::string& help) const
{
    std::vector<metric_sample> found;
    for (std::size_t n = 0; n < counts_.size(); ++n)
    {
        const auto reason = to_text(static_cast<failure_reason>(n));
        found.push_back({.name = name,
                         .help = help,
                         .kind = metric_kind::counter,
                         .value = counts_[n],
                         .label = "reason=\"" + std::string(reason) + "\""});
    }
    return found;
}

} // namespace lagoonquay
