//! The fleet's settings as one process applies them.
#pragma once

#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/version/fleet_settings.hpp"
#include "lagoonquay/version/fleet_view.hpp"

#include <map>
#include <memory>
#include <mutex>

namespace lagoonquay
{

//! Follows the views that come with permits. Thread-safe.
class live_settings
{
public:
    //! @param draw  for the policies that need chance.
    explicit live_settings(const random_hook& draw);

    //! Takes over a newer view; older ones are ignored. Settings that cannot
    //! be read leave the last ones in force.
    //! @return whether the settings changed.
    bool apply(const fleet_view& view);

    std::shared_ptr<const fleet_settings> current() const;

    //! @return a hook that follows the policy in force.
    route_hook route() const;

private:
    const std::map<route_policy, route_hook> routes_;
    mutable std::mutex mutex_;
    version_number version_;
    std::string text_;
    std::shared_ptr<const fleet_settings> settings_;
};

} // namespace lagoonquay
