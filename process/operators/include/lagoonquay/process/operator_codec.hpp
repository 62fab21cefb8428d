//! JSON of the control replicas' answers to operators.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/command.hpp"
#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/fleet_view.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Time until an accepted change is in force where an answer names none: the
//! length of the permits that older state may still have granted.
constexpr duration default_in_force_after = std::chrono::seconds(2);

//! A replica's answer to a command.
struct command_reply
{
    command_outcome outcome;
    duration in_force_after = default_in_force_after;

    friend bool operator==(const command_reply&,
                           const command_reply&) = default;
};

//! A process as a replica's state dump shows it.
struct member_status
{
    std::string role;
    std::string id;
    std::string domain;
    std::string address;
    std::uint32_t slots = 0;
    bool serving = false;

    friend auto operator<=>(const member_status&,
                            const member_status&) = default;
};

//! One replica's state.
struct replica_status
{
    endpoint address;
    std::string id;
    fleet_view view;
    std::vector<member_status> members;

    friend bool operator==(const replica_status&,
                           const replica_status&) = default;
};

//! @return the answer to a command, or malformed.
version_result<command_reply> decode_command_reply(std::string_view text);

//! @return the leader's operators' listener, if a refusal names one.
std::optional<endpoint> decode_leader_hint(std::string_view text);

//! @return the sentence of an error answer, or the answer itself.
std::string decode_error_detail(std::string_view text);

//! Encodes the state that a replica shows to operators.
std::string encode_replica_view(const fleet_view& view);

//! Reads a replica's view and its state dump.
//! @return the replica's state, or malformed.
version_result<replica_status> decode_replica_status(std::string_view view,
                                                     std::string_view dump);

} // namespace lagoonquay
