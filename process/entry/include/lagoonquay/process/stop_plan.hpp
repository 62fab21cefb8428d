//! Decides which jobs an entry still takes after a stop signal.
#pragma once

#include "lagoonquay/request/time.hpp"

namespace lagoonquay
{

struct stop_plan
{
    //! Time after the stop signal for which every job is taken.
    duration notice{};
    //! Time after the stop signal by which a job that is taken after the notice
    //! must end by its own time limit; no such job is taken if it is not longer
    //! than the notice.
    duration job_end{};
    //! Time after the stop signal by which every job has an answer; zero for
    //! none: each is waited for until its own time limit.
    duration end{};
    //! For requests that have begun to arrive and responses that are ready,
    //! once nothing else is left.
    duration close_time = std::chrono::milliseconds(300);

    friend bool operator==(const stop_plan&, const stop_plan&) = default;
};

//! @param since_stop  time since the stop signal.
//! @return whether a job with this time limit is taken.
bool takes_job(const stop_plan& plan, duration since_stop,
               duration time_limit) noexcept;

} // namespace lagoonquay
