//! What the main functions of the programs share.
#pragma once

#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/ids.hpp"

#include <functional>
#include <optional>
#include <string>

namespace lagoonquay
{

//! The command line of a program that takes a settings file.
struct program_arguments
{
    std::string config;
    bool check_only = false;
};

//! Reads the command line; prints help, version or the usage error.
//! @return the arguments, or the exit code to leave with.
struct parsed_arguments
{
    std::optional<program_arguments> arguments;
    exit_code code = exit_code::ok;
};
parsed_arguments parse_arguments(int argc, const char* const* argv,
                                 const std::string& name,
                                 const std::string& summary);

//! Prints an error for a person. @return its exit code.
exit_code report(const layer_error<process_errc>& error);

//! @return a number for this run of the process, drawn at random.
incarnation draw_incarnation();

//! Blocks until `idle` returns true, looking every 20 ms.
void wait_until(const std::function<bool()>& idle);

} // namespace lagoonquay
