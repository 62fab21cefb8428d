//! Decides how many tasks may be in flight at an agent's worker. No I/O; the
//! caller passes the time.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstdint>

namespace lagoonquay
{

struct agent_health_options
{
    //! Consecutive failures after which the worker is put in quarantine.
    std::uint32_t failures = 3;
    //! Length of the first quarantine; each further one without a success in
    //! between is twice as long, up to `longest_pause`.
    duration first_pause = std::chrono::seconds(1);
    duration longest_pause = std::chrono::minutes(1);
    //! Slow start: time from one concurrent task to all slots after the worker
    //! begins to accept tasks.
    duration ramp = std::chrono::seconds(1);
    //! Mean ratio of measured to expected run time above which the worker
    //! counts as slow.
    double slow_ratio = 2.5;

    friend bool operator==(const agent_health_options&,
                           const agent_health_options&) = default;
};

//! Quarantine, probation, slow-worker detection and slow start of one agent.
//! Probation follows a quarantine and lasts until a task succeeds. Not
//! thread-safe.
class agent_health
{
public:
    //! Records whether the agent accepts tasks. A change to true begins the
    //! slow start.
    void set_accepting(bool accepting, instant now) noexcept;

    //! Records that a started task succeeded. Ends the probation, and resets
    //! the count of failures and the length of the next quarantine.
    void record_success() noexcept;

    //! Records the ratio of a task's measured to its expected run time.
    void record_run_ratio(double ratio) noexcept;

    //! Records that a started task failed at the worker.
    void record_failure(const agent_health_options& options,
                        instant now) noexcept;

    //! @param slots  the worker's slots.
    //! @return the maximum number of tasks in flight at the agent now; 0 if it
    //! accepts none or is in quarantine.
    std::uint32_t max_in_flight(const agent_health_options& options,
                                std::uint32_t slots,
                                instant now) const noexcept;

    //! @return whether the worker is in quarantine or on probation.
    bool is_suspect() const noexcept;

private:
    bool accepting_ = false;
    instant accepting_since_{};
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_quarantines_ = 0;
    instant quarantined_until_{};
    bool on_probation_ = false;
    //! Moving average of measured to expected run time.
    double mean_run_ratio_ = 1;
};

} // namespace lagoonquay
