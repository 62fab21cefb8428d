//! What a process tells control about itself, and control's answer.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/need.hpp"
#include "lagoonquay/version/catalog_changes.hpp"
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

//! A state of the list of members at one life of a replica. Zero is before all.
struct members_mark
{
    incarnation life;
    std::uint64_t revision = 0;

    friend auto operator<=>(const members_mark&, const members_mark&) = default;
};

//! Heartbeat of a process; asks for a permit vote.
struct permit_request
{
    member sender;
    version_number known;       //!< newest version the sender has applied
    log_index known_replicas;   //!< of the newest replica_set it has heard of
    members_mark known_members; //!< heard of from the replica that is asked
    bool wants_view = false;    //!< whether the answer shall hold a newer view
    catalog_revision known_queues; //!< the view may be told by changes of these

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

//! What has changed in the list of members since the one that a process knows.
struct member_changes
{
    members_mark mark;  //!< of the list with these changes
    bool whole = false; //!< the list itself, in place of changes
    std::vector<member> agents;
    std::vector<member> entries;
    std::vector<std::string> gone; //!< ids; to be applied before the others

    friend bool operator==(const member_changes&,
                           const member_changes&) = default;
};

//! A replica's answer to a heartbeat.
struct permit_reply
{
    std::optional<permit_vote> vote; //!< none while the replica must not vote
    std::optional<catalog_changes>
        queue_changes;                   //!< for the queues of the view
    std::optional<replica_set> replicas; //!< to those who know an older one
    member_changes members;              //!< to entries only

    friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

} // namespace lagoonquay
