//! Which of the tasks that wait goes first. Pure.
//!
//! Answers this load: a burst of the least urgent kind, at a multiple of the
//! room that there is, beside the most urgent kind. Tasks of the most urgent
//! kind must wait as briefly as without the burst, and no kind may wait
//! forever.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! A wait of this length makes work count as one priority more urgent. It is
//! longer than jobs with a tight aim may wait at all, so that the order of such
//! jobs is their priority alone, and short against the time limits of jobs, so
//! that work of low priority starts before its caller gives up.
constexpr duration ageing_period = std::chrono::seconds(2);

//! Priorities are told apart up to this one; all from it on are equal.
constexpr std::uint32_t lowest_priority = 15;

//! @param waited  how long the work has waited.
//! @return the priority that it counts as; 0 goes first.
std::uint32_t aged_priority(std::uint32_t priority, duration waited) noexcept;

//! Tasks of one priority that wait.
struct waiting_level
{
    std::uint32_t priority = 0; //!< 0 goes first
    duration waited{};          //!< by the task that has waited longest
    duration served{};          //!< work served of this level, see level_turns

    friend bool operator==(const waiting_level&,
                           const waiting_level&) = default;
};

//! Chooses the level whose task goes next: the most urgent one, and beside it
//! with equal shares those that count as equally urgent by their wait. Ageing
//! puts no level ahead of a more urgent one, because otherwise a backlog of old
//! work would delay all new work.
//! @param levels  the most urgent first.
//! @return the position; nothing without levels.
std::optional<std::size_t>
next_level(const std::vector<waiting_level>& levels) noexcept;

//! What decides between two tasks that wait at an agent.
struct start_urgency
{
    std::uint32_t priority = 0; //!< 0 goes first
    //! Latest start that meets the job's aim; zero, which counts as last, for
    //! none.
    instant start_by{};
    duration waited{}; //!< at this agent

    friend bool operator==(const start_urgency&,
                           const start_urgency&) = default;
};

//! @return whether the left task goes first: by its aged priority, then by the
//! least time left. Of two tasks of which neither does, the first to arrive
//! goes first.
bool goes_before(const start_urgency& left,
                 const start_urgency& right) noexcept;

} // namespace lagoonquay
