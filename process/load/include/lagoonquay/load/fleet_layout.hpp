//! Addresses and settings files of an experiment's fleet. Pure.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/load/experiment.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonquay::load
{

//! Where the processes of a fleet listen.
class fleet_layout
{
public:
    explicit fleet_layout(fleet_shape shape);

    //! @return where callers reach each entry.
    std::vector<endpoint> entry_callers() const;
    //! @return where operators reach each process of a role.
    std::vector<endpoint> entry_operators() const;
    std::vector<endpoint> agent_operators() const;
    std::vector<endpoint> control_operators() const;

    //! @return the failure domain of the process with this number.
    std::string domain_of(std::size_t number) const;
    //! @return how many slots the fleet has without one failure domain.
    std::uint64_t slots_without(const std::string& domain) const;

    const fleet_shape& shape() const noexcept;

    endpoint entry(std::size_t number, std::uint16_t port) const;
    endpoint agent(std::size_t number, std::uint16_t port) const;
    endpoint control(std::size_t number, std::uint16_t port) const;

private:
    fleet_shape shape_;
};

//! One file of the fleet's folder.
struct fleet_file
{
    std::string name;
    std::string text;

    friend bool operator==(const fleet_file&, const fleet_file&) = default;
};

//! @return the settings file of each process, and "processes": one line per
//! process with its name, its program and its arguments.
//! @param folder  where the files will be.
std::vector<fleet_file> make_fleet_files(const fleet_layout& layout,
                                         const std::string& folder);

//! @return the fleet settings that the shape asks for, or an empty text.
std::string make_fleet_settings(const fleet_shape& shape);

} // namespace lagoonquay::load
