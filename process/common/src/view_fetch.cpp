#include "lagoonquay/process/view_fetch.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

view_fetch::view_fetch(view_fetch_options options) noexcept
    : options_(options), timeout_(options.first_timeout)
{
}

void view_fetch::heard(const endpoint& replica, version_number version)
{
    versions_[replica] = version;
}

std::optional<view_query> view_fetch::take(version_number known)
{
    if (asked_)
        return std::nullopt;
    for (const auto& [replica, version] : versions_)
    {
        if (version <= known)
            continue;
        asked_ = replica;
        return view_query{replica, timeout_};
    }
    return std::nullopt;
}

void view_fetch::arrived() noexcept
{
    asked_.reset();
    timeout_ = options_.first_timeout;
}

// A view that did not fit into its time would not fit into the same time again.
void view_fetch::failed()
{
    if (const auto replica = std::exchange(asked_, std::nullopt))
        versions_.erase(*replica);
    timeout_ = std::min(2 * timeout_, options_.longest_timeout);
}

} // namespace lagoonquay
