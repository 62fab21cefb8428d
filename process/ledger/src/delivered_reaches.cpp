#include "lagoonquay/process/delivered_reaches.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// Less than the 64 reaches that a replica stores per holder, so that a replica
// drops no reach that is still sent by number.
constexpr std::size_t max_recent_reaches = 16;

} // namespace

// Reaches of claims made at about the same time mostly share one list, which
// makes the comparison cheap.
claim_request delivered_reaches::name(const claim_request& asked)
{
    if (asked->reach.empty())
        return asked;
    const std::lock_guard lock(mutex_);
    auto found = std::find_if(recent_.begin(), recent_.end(),
                              [&](const numbered_reach& it)
                              { return it.reach == asked->reach; });
    if (found == recent_.end())
    {
        if (recent_.size() >= max_recent_reaches)
        {
            const auto oldest = recent_.front().number;
            recent_.pop_front();
            std::erase_if(delivered_,
                          [&](const auto& it) { return it.second == oldest; });
        }
        recent_.push_back({reach_number(++last_number_), asked->reach});
        found = std::prev(recent_.end());
    }
    return asked.with([&](claim_request_options& it)
                      { it.cached_reach_number = found->number; });
}

bool delivered_reaches::is_delivered(const endpoint& replica,
                                     reach_number reach) const
{
    const std::lock_guard lock(mutex_);
    return delivered_.contains({replica, reach});
}

void delivered_reaches::note_delivered(const endpoint& replica,
                                       reach_number reach)
{
    const std::lock_guard lock(mutex_);
    const bool recent = std::any_of(recent_.begin(), recent_.end(),
                                    [&](const numbered_reach& it)
                                    { return it.number == reach; });
    if (recent)
        delivered_.insert({replica, reach});
}

void delivered_reaches::forget(const endpoint& replica)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(delivered_,
                  [&](const auto& it) { return it.first == replica; });
}

} // namespace lagoonquay
