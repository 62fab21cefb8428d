//! Runs that were taken for over without an end that the worker listed.
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

//! Why a run was taken for over.
enum class give_up_reason
{
    absent,     //!< a list of what runs did not show it
    lease_over, //!< no answer until the last lease had run out
    refused,    //!< the worker declined the start
    restarted,  //!< the worker lives anew
};

std::string_view to_text(give_up_reason reason) noexcept;

//! A run that was taken for over, and what decided it.
struct given_up_run
{
    task_run run;
    give_up_reason reason = give_up_reason::absent;
    duration age{};      //!< since its start was ordered
    duration list_age{}; //!< since the list was asked for; zero without one
    instant at{};

    friend bool operator==(const given_up_run&, const given_up_run&) = default;
};

//! Remembers the last runs that were given up, so that one that is seen at the
//! worker afterwards can be told. Not thread-safe.
class given_up_runs
{
public:
    void add(const given_up_run& it);

    //! @return the run if it was given up lately, once for each.
    std::optional<given_up_run> take(const task_run& run);

private:
    std::deque<given_up_run> runs_;
};

} // namespace lagoonquay
