#include "lagoonquay/process/entry_peers.hpp"

namespace lagoonquay
{

entry_peers::entry_peers(std::string own, duration keep, clock_hook now)
    : own_(std::move(own)), keep_(keep), now_(std::move(now))
{
}

void entry_peers::learn(const std::vector<member>& entries)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    known_ = known_ || !entries.empty();
    for (const auto& it : entries)
    {
        const auto address = parse_endpoint(it->address);
        if (!address || it->address == own_)
            continue;
        named_.insert_or_assign(address.value(), now);
    }
}

bool entry_peers::known() const
{
    const std::lock_guard lock(mutex_);
    return known_;
}

std::vector<endpoint> entry_peers::current()
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    std::erase_if(named_,
                  [&](const auto& it) { return now - it.second > keep_; });
    std::vector<endpoint> found;
    for (const auto& [address, named] : named_)
        found.push_back(address);
    return found;
}

} // namespace lagoonquay
