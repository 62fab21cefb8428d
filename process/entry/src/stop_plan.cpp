#include "lagoonquay/process/stop_plan.hpp"

namespace lagoonquay
{

// Compares with what is left, because a time limit may be as large as the type
// allows.
bool takes_job(const stop_plan& plan, duration since_stop,
               duration time_limit) noexcept
{
    if (since_stop < plan.notice)
        return true;
    return since_stop < plan.job_end && time_limit <= plan.job_end - since_stop;
}

} // namespace lagoonquay
