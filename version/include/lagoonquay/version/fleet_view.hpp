//! The replicated state that every process acts on. Lives for one version.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/version/queue_catalog.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace lagoonquay
{

//! Version of the fleet's state; rises with each accepted change.
using version_number = number_id<struct version_tag>;

struct fleet_view_options
{
    version_number version;
    std::set<domain_id> out_domains; //!< failure domains out of service
    std::set<agent_id> drained_agents;
    std::set<entry_id> drained_entries;
    std::string settings; //!< the fleet's settings as INI
    queue_catalog catalog;

    friend bool operator==(const fleet_view_options&,
                           const fleet_view_options&) = default;
};

//! One version of the fleet's state.
using fleet_view = immutable<fleet_view_options>;

} // namespace lagoonquay
