//! Settings of the whole fleet: one set of defaults and named exceptions.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! What a customer may use.
struct customer_limits
{
    std::uint32_t weight = 10; //!< of its share of the slots, 1 to 1000
    //! Most tasks that wait at one entry.
    std::uint32_t queued_tasks = 20000;

    friend bool operator==(const customer_limits&,
                           const customer_limits&) = default;
};

//! A customer whose limits differ from the defaults.
struct customer_exception
{
    customer_limits limits;
    std::string reason; //!< never empty

    friend bool operator==(const customer_exception&,
                           const customer_exception&) = default;
};

//! When a worker is set aside, and how it returns.
struct quarantine_settings
{
    std::uint32_t failures = 3;
    duration first_pause = std::chrono::seconds(1);
    duration longest_pause = std::chrono::minutes(1);

    friend bool operator==(const quarantine_settings&,
                           const quarantine_settings&) = default;
};

struct fleet_settings_options
{
    route_policy routing = route_policy::slot_credits;
    std::uint32_t subset_agents = 128;   //!< most agents that an entry links to
    std::uint32_t queued_tasks = 100000; //!< most that wait at one entry
    customer_limits customers;           //!< without an exception
    std::map<customer_id, customer_exception> exceptions;
    quarantine_settings quarantine;
    duration ramp = std::chrono::seconds(1); //!< of a returning worker

    friend bool operator==(const fleet_settings_options&,
                           const fleet_settings_options&) = default;
};

using fleet_settings = immutable<fleet_settings_options>;

//! Most exceptions that the settings may hold.
constexpr std::size_t most_exceptions = 64;

//! Reads and checks settings. Empty text gives the defaults.
//! @return the settings, or bad_setting with section and key.
version_result<fleet_settings> parse_fleet_settings(std::string_view text);

//! @return the limits of one customer.
const customer_limits& limits_of(const fleet_settings& settings,
                                 const customer_id& customer);

} // namespace lagoonquay
