//! Admission control: refuses jobs early that an entry can't answer in time.
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
    //! Time from the entry's first usable slot until its list of workers counts
    //! as complete. Before that, no need is refused as impossible.
    duration fleet_known_delay = std::chrono::seconds(5);

    friend bool operator==(const job_admission_options&,
                           const job_admission_options&) = default;
};

//! Admits or refuses jobs by the load at the entry. Thread-safe.
class job_admission
{
public:
    job_admission(job_admission_options options, dispatcher& tasks,
                  const live_settings& settings, clock_hook now);

    //! Call once the job is claimed and before any of its tasks is queued: only
    //! the claim rules out that another entry runs it.
    //! @param ran  whether the job has run, for the refusal.
    //! @return the refusal; nothing if the job is admitted.
    std::optional<job_answer> refuse(const job& submitted, effect ran);

private:
    std::optional<job_answer> refuse_impossible(const job& submitted,
                                                effect ran);
    admission_request describe(const job& submitted);
    admission_load load_for(const job& submitted);
    bool is_fleet_known();

    const job_admission_options options_;
    dispatcher& tasks_;
    const live_settings& settings_;
    const clock_hook now_;
    //! Time of the first usable slot; zero before.
    std::atomic<duration::rep> first_slot_seen_{0};
};

} // namespace lagoonquay
