//! Whether a new job can be answered in time. Pure.
#pragma once

#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lagoonquay
{

//! What waits already, and what serves it. Work that waits behind the new job,
//! as less urgent, is left out.
struct admission_load
{
    std::size_t customer_tasks = 0; //!< of every priority
    duration customer_work{};    //!< sum of expected run times, of its priority
    duration more_urgent_work{}; //!< of all customers, and of `all_work`
    std::size_t all_tasks = 0;
    duration all_work{};
    double customer_share = 1; //!< guaranteed part of the slots that more
                               //!< urgent work leaves free, 0 to 1
    std::uint32_t slots = 0;   //!< usable by this entry; zero if not known
    std::uint32_t most_customer_tasks = 0;
    std::uint32_t most_tasks = 0;
    duration waited{}; //!< so far, by the customer's most urgent task

    friend bool operator==(const admission_load&,
                           const admission_load&) = default;
};

//! The new job.
struct admission_request
{
    std::size_t tasks = 0;
    duration work{};       //!< sum of expected run times
    duration longest{};    //!< expected run time of the longest task
    duration time_limit{}; //!< from now to the deadline
    //! How long its tasks may wait for the job to end when it is due; zero for
    //! a job without an aim.
    duration slack{};

    friend bool operator==(const admission_request&,
                           const admission_request&) = default;
};

//! @return the time after which the job is likely to be whole.
duration expected_response(const admission_request& asked,
                           const admission_load& load) noexcept;

//! @return overloaded or quota if the job must be refused now.
std::optional<failure_reason> refuse(const admission_request& asked,
                                     const admission_load& load) noexcept;

} // namespace lagoonquay
