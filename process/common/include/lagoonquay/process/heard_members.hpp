//! The members of the fleet as one control replica tells of them. Pure.
#pragma once

#include "lagoonquay/version/member.hpp"

#include <map>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Puts a replica's changes together to its list. Not thread-safe.
class heard_members
{
public:
    //! Ignores what is older than what is known.
    void apply(const member_changes& changes);

    //! @return what to name to the replica, so that it tells what is new.
    const members_mark& mark() const noexcept;

    std::vector<member> agents() const;
    std::vector<member> entries() const;

private:
    std::vector<member> of(member_role role) const;

    members_mark mark_;
    std::map<std::string, member> members_;
};

} // namespace lagoonquay
