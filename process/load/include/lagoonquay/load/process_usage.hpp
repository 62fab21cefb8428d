//! Processor time and memory of running processes, from the kernel.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay::load
{

//! Use of all processes of one role.
struct role_usage
{
    std::size_t processes = 0;
    duration processor{};
    std::uint64_t resident_bytes = 0;

    friend bool operator==(const role_usage&, const role_usage&) = default;
};

//! A process of the fleet that the script started.
struct fleet_process
{
    std::string name; //!< its role, a dash and a number
    std::uint64_t id = 0;

    friend bool operator==(const fleet_process&,
                           const fleet_process&) = default;
};

//! Reads lines "name process-id"; empty without the file.
std::vector<fleet_process> read_processes(const std::string& path);

//! Adds up the processes of a role that still run.
role_usage usage_of(const std::vector<fleet_process>& processes,
                    std::string_view role);

} // namespace lagoonquay::load
