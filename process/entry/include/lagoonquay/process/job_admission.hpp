//! Early refusals of jobs that an entry can't answer in time.
#pragma once

#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/live_settings.hpp"
#include "lagoonquay/request/admission.hpp"
#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job.hpp"

#include <atomic>
#include <optional>

namespace lagoonquay
{

struct job_admission_options
{
    //! After its first usable slot an entry waits this long before it calls a
    //! need impossible.
    duration fleet_known_after = std::chrono::seconds(5);

    friend bool operator==(const job_admission_options&,
                           const job_admission_options&) = default;
};

//! Judges jobs by what waits at the entry. Thread-safe.
class job_admission
{
public:
    job_admission(job_admission_options options, dispatcher& tasks,
                  const live_settings& settings, clock_hook now);

    //! Call once the job is claimed and before any task of it is queued: only
    //! then is it known that no other entry runs it.
    //! @param ran  what the refusal says of the job.
    //! @return the refusal, if the job must not be taken.
    std::optional<job_answer> refuse(const job& submitted, effect ran);

private:
    std::optional<job_answer> refuse_impossible(const job& submitted,
                                                effect ran);
    admission_request describe(const job& submitted);
    admission_load load_for(const job& submitted);
    bool knows_fleet();

    const job_admission_options options_;
    dispatcher& tasks_;
    const live_settings& settings_;
    const clock_hook now_;
    std::atomic<duration::rep> fleet_seen_{0}; //!< zero until it was seen
};

} // namespace lagoonquay
