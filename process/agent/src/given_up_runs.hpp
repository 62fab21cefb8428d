//! Runs that were considered ended although the worker reported no end.
#pragma once

#include "lagoonquay/connection/worker.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace lagoonquay
{

//! Why a run was considered ended.
enum class give_up_reason
{
    absent,     //!< a report of the worker did not list it
    lease_over, //!< no answer until the last lease expired
    refused,    //!< the worker declined the start
    restarted,  //!< the worker restarted
};

std::string_view to_text(give_up_reason reason) noexcept;

//! A run that was considered ended, and the reason.
struct given_up_run
{
    task_run run;
    give_up_reason reason = give_up_reason::absent;
    duration age{};      //!< since its start was ordered
    duration list_age{}; //!< since the report was requested; zero without one
    instant at{};

    friend bool operator==(const given_up_run&, const given_up_run&) = default;
};

//! Keeps the runs that were given up last, so that one that the worker reports
//! afterwards is recognized. Not thread-safe.
class given_up_runs
{
public:
    void add(const given_up_run& lost);

    //! Removes and returns a run.
    //! @return nothing unless the run was given up recently and not yet taken.
    std::optional<given_up_run> take(const task_run& run);

private:
    std::deque<given_up_run> runs_;
};

} // namespace lagoonquay
