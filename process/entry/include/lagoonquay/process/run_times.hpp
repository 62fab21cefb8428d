//! Run times and failure rates measured for each kind of task.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/time.hpp"

#include <atomic>
#include <string>

namespace lagoonquay
{

struct run_times_options
{
    std::size_t max_kinds = 4096;
    //! Runs after which the measured time has replaced the declared one.
    std::uint32_t runs_until_trusted = 8;
    //! Assumed for a kind with neither a measured nor a declared time.
    duration default_run_time = std::chrono::milliseconds(300);

    friend bool operator==(const run_times_options&,
                           const run_times_options&) = default;
};

//! Exponentially weighted mean of the run times per kind. Thread-safe.
class run_times
{
public:
    explicit run_times(run_times_options options = {});

    //! Records the run time of a task that succeeded.
    void observe(const std::string& kind, duration ran_for);

    //! Records that a task failed at its worker.
    void observe_failure(const std::string& kind);

    //! @return whether more than half of the recent tasks of the kind failed,
    //! by a moving average.
    bool mostly_fails(const std::string& kind);

    //! @param declared  the caller's estimate; zero if there is none.
    //! @return the expected run time of a task of that kind.
    duration expect(const std::string& kind, duration declared);

    std::size_t kinds() const noexcept;

private:
    struct kind_statistics
    {
        double mean_us = 0;
        double failure_rate = 0; //!< moving average of the share that failed
        std::uint32_t runs = 0;
    };

    template <typename Change>
    void update_kind(const std::string& kind, Change apply);

    run_times_options options_;
    sharded_map<std::string, kind_statistics> kinds_;
    std::atomic<std::size_t> size_{0};
};

} // namespace lagoonquay
