//! Operators' commands and the state machine that they change.
#pragma once

#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/fleet_view.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonquay
{

//! Takes a failure domain out of service or brings it back.
struct set_domain
{
    domain_id domain;
    bool in_service = true;

    friend bool operator==(const set_domain&, const set_domain&) = default;
};

//! Drains an agent or lets it serve again.
struct set_agent_drain
{
    agent_id agent;
    bool drained = true;

    friend bool operator==(const set_agent_drain&,
                           const set_agent_drain&) = default;
};

//! Drains an entry or lets it serve again.
struct set_entry_drain
{
    entry_id entry;
    bool drained = true;

    friend bool operator==(const set_entry_drain&,
                           const set_entry_drain&) = default;
};

//! Replaces the fleet's settings.
struct set_settings
{
    std::string settings; //!< INI, already checked

    friend bool operator==(const set_settings&, const set_settings&) = default;
};

//! Replaces the queue catalog. One whose revision is not higher than the
//! present one's is accepted and changes nothing, so that it may be resent.
struct set_catalog
{
    queue_catalog catalog; //!< already checked

    friend bool operator==(const set_catalog&, const set_catalog&) = default;
};

//! Changes nothing. Its answer names the version that was current when a
//! majority agreed to it.
struct read_barrier
{
    friend bool operator==(const read_barrier&, const read_barrier&) = default;
};

using change = std::variant<set_domain, set_agent_drain, set_entry_drain,
                            set_settings, set_catalog, read_barrier>;

struct command_options
{
    command_id id;
    std::string author;                     //!< who sent it, for conflicts
    std::optional<version_number> expected; //!< compare-and-set
    change what;

    friend bool operator==(const command_options&,
                           const command_options&) = default;
};

//! A change that an operator asks for.
using command = immutable<command_options>;

//! The first answer to a command; a resend gets the same one.
struct command_outcome
{
    bool accepted = false;
    version_number version; //!< after the command
    std::string author;     //!< who made the current version

    friend bool operator==(const command_outcome&,
                           const command_outcome&) = default;
};

//! What an operator is told.
struct command_answer
{
    command_outcome outcome;
    //! Until then an older permit may still allow what the command forbids.
    duration in_force_after{};

    friend bool operator==(const command_answer&,
                           const command_answer&) = default;
};

//! @return whether the change takes leave to work away from someone.
bool forbids_work(const change& what) noexcept;

//! The outcome of one command, kept for resends.
struct remembered_outcome
{
    command_id id;
    command_outcome outcome;

    friend bool operator==(const remembered_outcome&,
                           const remembered_outcome&) = default;
};

//! All of a fleet_state.
struct fleet_snapshot
{
    fleet_view view;
    std::string author;
    std::vector<remembered_outcome> outcomes; //!< oldest first

    friend bool operator==(const fleet_snapshot&,
                           const fleet_snapshot&) = default;
};

//! Applies commands in log order. Deterministic; not thread-safe.
class fleet_state
{
public:
    //! Outcomes kept for resends.
    static constexpr std::size_t remembered_outcomes = 4096;

    fleet_state() = default;
    explicit fleet_state(const fleet_snapshot& from);

    //! Applies a command, or returns the outcome of its first application.
    command_outcome apply(const command& asked);

    const fleet_view& view() const noexcept;

    fleet_snapshot snapshot() const;

    //! @return the outcome of an applied command.
    std::optional<command_outcome> outcome_of(const command_id& id) const;

private:
    void remember(const command_id& id, const command_outcome& outcome);

    fleet_view view_;
    std::string author_;
    std::map<command_id, command_outcome> outcomes_;
    std::map<std::uint64_t, command_id> order_;
    std::uint64_t applied_ = 0;
};

} // namespace lagoonquay
