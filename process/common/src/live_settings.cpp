#include "lagoonquay/process/live_settings.hpp"

#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

std::map<route_policy, route_hook> make_routes(const random_hook& draw)
{
    std::map<route_policy, route_hook> routes;
    for (const auto it :
         {route_policy::random, route_policy::round_robin,
          route_policy::least_outstanding, route_policy::two_choices,
          route_policy::slot_credits})
        routes.emplace(it, make_route(it, draw));
    return routes;
}

} // namespace

live_settings::live_settings(const random_hook& draw)
    : routes_(make_routes(draw)),
      settings_(std::make_shared<const fleet_settings>())
{
}

bool live_settings::apply(const fleet_view& view)
{
    {
        const std::lock_guard lock(mutex_);
        if (view->version < version_ || view->settings == text_)
            return false;
        version_ = view->version;
        text_ = view->settings;
    }
    auto read = parse_fleet_settings(view->settings);
    if (!read)
    {
        write_log(log_level::error, "settings",
                  "Settings ignored: " + read.error().detail + ".");
        return false;
    }
    auto fresh =
        std::make_shared<const fleet_settings>(std::move(read).value());
    const std::lock_guard lock(mutex_);
    if (version_ != view->version)
        return false;
    settings_ = std::move(fresh);
    return true;
}

std::shared_ptr<const fleet_settings> live_settings::current() const
{
    const std::lock_guard lock(mutex_);
    return settings_;
}

route_hook live_settings::route() const
{
    return [this](const route_request& asked,
                  const std::vector<route_candidate>& candidates)
    {
        return routes_.at((*current())->routing)(asked, candidates);
    };
}

} // namespace lagoonquay
