//! What a process tells control about itself, and control's answer.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/need.hpp"
#include "lagoonquay/version/permit.hpp"

#include <compare>
#include <cstdint>
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
    version_number known; //!< newest version the sender has applied

    friend bool operator==(const permit_request&,
                           const permit_request&) = default;
};

//! A replica's answer to a heartbeat.
struct permit_reply
{
    permit_vote vote;
    std::vector<member> agents; //!< to entries only

    friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

} // namespace lagoonquay
