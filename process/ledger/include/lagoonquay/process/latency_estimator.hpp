//! Estimates how long ledger replicas take to answer.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <mutex>

namespace lagoonquay
{

//! Bounds of the delay before another replica is asked.
struct latency_estimator_options
{
    duration min_delay = std::chrono::milliseconds(60);
    duration max_delay = std::chrono::milliseconds(250);
};

//! Computes how long to wait for a replica before another is asked as well (a
//! hedged request). The delay grows with the measured answer times: while all
//! replicas are slow, another one would be no faster, and the additional
//! request would slow it further. Thread-safe.
class latency_estimator
{
public:
    explicit latency_estimator(latency_estimator_options options) noexcept;

    //! Adds a sample: the time from a request to its answer.
    void add_sample(duration took);

    //! @return the time within which nearly all answers arrive, limited to the
    //! bounds of the options.
    duration patience() const;

private:
    const latency_estimator_options options_;
    mutable std::mutex mutex_;
    duration mean_{};
    duration deviation_{};
};

} // namespace lagoonquay
