//! What a table of runs decided, for the log.
#pragma once

#include "given_up_runs.hpp"
#include "lagoonquay/connection/worker.hpp"

#include <cstddef>
#include <string_view>

namespace lagoonquay
{

//! Why an agent stops a run.
enum class stop_cause
{
    asked,       //!< by its entry, or since no entry asks for it
    unanswered,  //!< its start got no answer
    no_progress, //!< the worker reports none
    next_life,   //!< its start may reach the worker's next life
    unknown_run, //!< the worker lists it, and the agent has no such run
};

std::string_view to_text(stop_cause cause) noexcept;

//! The first stop that was sent for a run.
struct stopped_run
{
    task_run run;
    stop_cause cause = stop_cause::asked;
    fencing_token fence;
    duration list_age{}; //!< since the report that led to it was requested

    friend bool operator==(const stopped_run&, const stopped_run&) = default;
};

//! A life of a worker that begins for its agent.
struct begun_life
{
    worker_address worker;
    worker_time clock{}; //!< as last received
    fencing_token fence;
    std::size_t ended = 0;      //!< runs of the earlier life
    std::size_t unresolved = 0; //!< runs that may be of this life

    friend bool operator==(const begun_life&, const begun_life&) = default;
};

//! A run that the worker reports although it was given up.
struct resurfaced_run
{
    given_up_run run;
    bool is_running = false; //!< false if it has just ended
    duration after{};        //!< since it was given up

    friend bool operator==(const resurfaced_run&,
                           const resurfaced_run&) = default;
};

//! A start that got no answer in time; the worker may yet carry it out.
struct unanswered_start
{
    task_run run;
    duration age{};            //!< since it was ordered
    bool is_next_life = false; //!< whether a next life has answered instead

    friend bool operator==(const unanswered_start&,
                           const unanswered_start&) = default;
};

//! A run that was given up, and whose result is kept back for as long as its
//! start may reach a next life of the worker.
struct held_start
{
    task_run run;
    bool is_over = false; //!< whether the result has been passed on
    duration span{};      //!< left at most; once it is over, that it took

    friend bool operator==(const held_start&, const held_start&) = default;
};

void log_event(const given_up_run& it);
void log_event(const unanswered_start& it);
void log_event(const held_start& it);
void log_event(const resurfaced_run& it);
void log_event(const stopped_run& it);
void log_event(const begun_life& it);

} // namespace lagoonquay
