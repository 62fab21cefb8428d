//! Whether an agent's worker may get tasks, and how many. Pure.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstdint>

namespace lagoonquay
{

struct agent_health_options
{
    //! Failures in a row, none succeeding between them, that set it aside.
    std::uint32_t failures = 3;
    duration first_pause = std::chrono::seconds(1);
    duration longest_pause = std::chrono::minutes(1);
    //! From one task at once to all slots after it becomes available.
    duration ramp = std::chrono::seconds(1);
    //! Run times over the expected ones, on average, from which the worker
    //! counts as slow.
    double slow_ratio = 2.5;

    friend bool operator==(const agent_health_options&,
                           const agent_health_options&) = default;
};

//! Quarantine, probation, slowness and slow start of one agent. Not
//! thread-safe.
class agent_health
{
public:
    //! Takes over whether the agent accepts tasks.
    void set_accepting(bool accepting, instant now) noexcept;

    //! A task that was started came back whole.
    void succeeded() noexcept;

    //! A task ran this many times as long as expected.
    void ran(double ratio) noexcept;

    //! A started task failed at the worker.
    void failed(const agent_health_options& options, instant now) noexcept;

    //! @return the most tasks that may be with the agent now.
    std::uint32_t allowed(const agent_health_options& options,
                          std::uint32_t slots, instant now) const noexcept;

    //! @return whether the worker is set aside or on probation.
    bool suspect() const noexcept;

private:
    bool accepting_ = false;
    instant accepting_since_{};
    std::uint32_t failures_ = 0;
    std::uint32_t pauses_ = 0;
    instant paused_until_{};
    bool probation_ = false;
    double ratio_ = 1; //!< of run times to the expected ones, on average
};

} // namespace lagoonquay
