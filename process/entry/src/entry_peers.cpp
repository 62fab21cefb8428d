#include "lagoonquay/process/entry_peers.hpp"

namespace lagoonquay
{

namespace
{

// Control names every entry that lives within this.
constexpr duration naming = std::chrono::seconds(1);

} // namespace

entry_peers::entry_peers(std::string own, duration keep, clock_hook now)
    : own_(std::move(own)), keep_(keep), now_(std::move(now))
{
}

void entry_peers::learn(const std::vector<member>& entries)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    if (entries.empty())
        return;
    learned_ = learned_.value_or(now);
    newest_list_ = now;
    for (const auto& it : entries)
    {
        const auto address = parse_endpoint(it->address);
        if (!address || it->address == own_)
            continue;
        auto& known =
            entries_
                .try_emplace(address.value(), known_entry{it->domain, now, now})
                .first->second;
        known.named = now;
    }
}

bool entry_peers::known() const
{
    const std::lock_guard lock(mutex_);
    return learned_.has_value();
}

std::vector<endpoint> entry_peers::current()
{
    const std::lock_guard lock(mutex_);
    forget_unnamed();
    std::vector<endpoint> found;
    for (const auto& [address, it] : entries_)
        found.push_back(address);
    return found;
}

// Every entry has heard of another one by the time that claims made without it
// have been renewed or have run out. An entry that is new itself can't tell who
// else is.
std::vector<ledger_peer> entry_peers::replicas()
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    forget_unnamed();
    std::vector<ledger_peer> found;
    for (const auto& [address, it] : entries_)
    {
        const bool joined = it.first_named - *learned_ > naming;
        const bool fresh = joined && now - it.first_named <= keep_;
        found.push_back({address, it.domain, fresh});
    }
    return found;
}

// Call under the lock. While control is silent nobody is forgotten: an entry
// that knew of no others would decide on claims alone.
void entry_peers::forget_unnamed()
{
    std::erase_if(entries_, [&](const auto& it)
                  { return newest_list_ - it.second.named > keep_; });
}

} // namespace lagoonquay
