//! What a process tells control about itself, and control's answer.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/need.hpp"
#include "lagoonquay/version/log_entry.hpp"
#include "lagoonquay/version/permit.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

enum class member_role
{
    agent,
    entry,
};

struct member_options
{
    member_role role = member_role::agent;
    std::string id; //!< an agent_id or an entry_id
    incarnation run;
    domain_id domain;
    std::string address; //!< "IP:port" of the listener for other processes
    std::uint32_t slots = 0;
    resources capacity;
    bool serving = false; //!< has an upstream and is not leaving

    friend bool operator==(const member_options&,
                           const member_options&) = default;
};

//! A process as the others know it.
using member = immutable<member_options>;

//! Heartbeat of a process; asks for a permit vote.
struct permit_request
{
    member sender;
    version_number known;     //!< newest version the sender has applied
    log_index known_replicas; //!< of the newest replica_set it has heard of

    friend bool operator==(const permit_request&,
                           const permit_request&) = default;
};

//! Who holds the log, from the log entry at `index` on.
struct replica_set
{
    log_index index;
    membership all;

    friend bool operator==(const replica_set&, const replica_set&) = default;
};

//! A replica's answer to a heartbeat.
struct permit_reply
{
    std::optional<permit_vote> vote; //!< none while the replica must not vote
    std::optional<replica_set> replicas; //!< to those who know an older one
    std::vector<member> agents;          //!< to entries only
    std::vector<member> entries;         //!< to entries only

    friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

} // namespace lagoonquay
