//! Command line of lagoonquayctl.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/version/command.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonquay
{

//! Prints the settings in force.
struct show_settings
{
    friend bool operator==(const show_settings&,
                           const show_settings&) = default;
};

//! Checks a file and makes it the fleet's settings.
struct replace_settings
{
    std::string path;

    friend bool operator==(const replace_settings&,
                           const replace_settings&) = default;
};

//! Lists the exceptions to the fleet's defaults with their reasons.
struct list_exceptions
{
    friend bool operator==(const list_exceptions&,
                           const list_exceptions&) = default;
};

//! Shows the replicas, failure domains and members.
struct show_status
{
    friend bool operator==(const show_status&, const show_status&) = default;
};

//! Prints the state dump of one process.
struct dump_process
{
    endpoint target;

    friend bool operator==(const dump_process&, const dump_process&) = default;
};

//! Tells the story of a request from log files.
struct explain_request
{
    submission_id submission;
    std::vector<std::string> logs; //!< paths

    friend bool operator==(const explain_request&,
                           const explain_request&) = default;
};

//! Sends a change to the replicas.
struct send_change
{
    change what;

    friend bool operator==(const send_change&, const send_change&) = default;
};

using operator_action =
    std::variant<show_status, show_settings, replace_settings, list_exceptions,
                 dump_process, explain_request, send_change>;

//! One call of lagoonquayctl.
struct operator_arguments
{
    std::vector<endpoint> control;
    std::string token;
    std::string author;
    command_id id; //!< drawn at random unless given
    std::optional<version_number> expected;
    bool json = false;
    bool wait = true;
    bool force = false; //!< also where no replica knows the target
    operator_action action;

    friend bool operator==(const operator_arguments&,
                           const operator_arguments&) = default;
};

struct parsed_operator_arguments
{
    std::optional<operator_arguments> arguments;
    exit_code code = exit_code::ok;
};

//! Reads the command line; prints help, version or the usage error.
//! @return the arguments, or the exit code to leave with.
parsed_operator_arguments parse_operator_arguments(int argc,
                                                   const char* const* argv);

} // namespace lagoonquay
