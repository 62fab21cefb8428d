//! What lagoonquayctl prints, for people and as JSON.
#pragma once

#include "lagoonquay/process/operator_client.hpp"
#include "lagoonquay/version/command.hpp"

#include <string>
#include <vector>

namespace lagoonquay
{

//! One section of the settings that departs from the defaults.
struct settings_exception
{
    std::string section;
    std::vector<std::string> lines; //!< "key = value"

    friend bool operator==(const settings_exception&,
                           const settings_exception&) = default;
};

//! @return every exception that the settings' INI text holds.
std::vector<settings_exception> exceptions_in(const std::string& settings);

//! Each returns whole lines with a newline at the end.
std::string status_text(const fleet_status& status);
std::string status_json(const fleet_status& status);
std::string exceptions_text(const std::vector<settings_exception>& found);
std::string exceptions_json(const std::vector<settings_exception>& found);
std::string settings_json(const fleet_view& view);
std::string reply_text(const command& asked, const command_reply& reply);
std::string reply_json(const command& asked, const command_reply& reply,
                       bool in_force);

} // namespace lagoonquay
