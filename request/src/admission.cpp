#include "lagoonquay/request/admission.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// The estimate comes from expected run times, which may be too long: a job is
// refused only if even this part of it is over the limit.
constexpr double certain_part = 0.8;

// A queue that grows makes a new task wait longer than its head has waited.
constexpr double waited_part = 0.6;

duration over(duration work, double slots) noexcept
{
    const auto span = static_cast<double>(work.count()) / slots;
    return duration(static_cast<duration::rep>(span));
}

} // namespace

// More urgent work goes first. Of the rest the customer gets its share at
// least, and everything if nobody else waits: the shorter of the two times
// counts.
duration expected_response(const admission_request& asked,
                           const admission_load& load) noexcept
{
    if (load.slots == 0)
        return asked.longest;
    const auto slots = static_cast<double>(load.slots);
    const auto own =
        over(load.more_urgent_work, slots) +
        over(load.customer_work + asked.work, slots * load.customer_share);
    const auto all = over(load.all_work + asked.work, slots);
    return std::max(asked.longest, std::min(own, all));
}

std::optional<failure_reason> refuse(const admission_request& asked,
                                     const admission_load& load) noexcept
{
    if (load.customer_tasks + asked.tasks > load.most_customer_tasks)
        return failure_reason::quota;
    if (load.all_tasks + asked.tasks > load.most_tasks)
        return failure_reason::overloaded;
    const auto most_wait =
        static_cast<double>(asked.slack.count()) * waited_part;
    if (asked.slack > duration::zero() &&
        static_cast<double>(load.waited.count()) > most_wait)
        return failure_reason::overloaded;
    const auto expected = expected_response(asked, load);
    const auto certain = static_cast<double>(expected.count()) * certain_part;
    if (certain > static_cast<double>(asked.time_limit.count()))
        return failure_reason::overloaded;
    return std::nullopt;
}

} // namespace lagoonquay
