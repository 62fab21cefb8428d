#include "lagoonquay/process/records_takeover.hpp"

#include <algorithm>

namespace lagoonquay
{

records_takeover::records_takeover(records_takeover_options options,
                                   records_takeover_hooks hooks)
    : options_(options), hooks_(std::move(hooks))
{
}

void records_takeover::take_from(const std::vector<endpoint>& peers)
{
    {
        const std::lock_guard lock(mutex_);
        for (const auto& it : peers)
            transfers_.try_emplace(it);
    }
    ask_next();
}

void records_takeover::skip(const endpoint& peer)
{
    const std::lock_guard lock(mutex_);
    transfers_[peer].skipped = true;
}

// A page that is on its way belongs to the earlier round and is not counted.
void records_takeover::restart()
{
    const std::lock_guard lock(mutex_);
    ++round_;
    for (auto& [peer, it] : transfers_)
    {
        it.next_shard = 0;
        it.whole = false;
    }
}

void records_takeover::end()
{
    const std::lock_guard lock(mutex_);
    ended_ = true;
}

bool records_takeover::has_all(const endpoint& peer) const
{
    const std::lock_guard lock(mutex_);
    const auto found = transfers_.find(peer);
    return found != transfers_.end() &&
           (found->second.whole || found->second.skipped);
}

void records_takeover::ask_next()
{
    const auto now = hooks_.now();
    while (const auto it = take_due(now))
        ask(*it);
}

//! @return the page that has been due for longest, now in flight.
std::optional<records_takeover::question>
records_takeover::take_due(instant now)
{
    const std::lock_guard lock(mutex_);
    if (ended_ || in_flight_ >= options_.max_pages_in_flight)
        return std::nullopt;
    auto first = transfers_.end();
    for (auto it = transfers_.begin(); it != transfers_.end(); ++it)
    {
        const auto& [peer, at] = *it;
        if (at.in_flight || at.whole || at.skipped || now < at.due)
            continue;
        if (first == transfers_.end() || at.due < first->second.due)
            first = it;
    }
    if (first == transfers_.end())
        return std::nullopt;
    first->second.in_flight = true;
    ++in_flight_;
    return question{first->first, first->second.next_shard, round_, now};
}

void records_takeover::ask(const question& it)
{
    hooks_.ask_for_page(it.peer, it.first_shard,
                        [this, it](const std::optional<peer_records>& page)
                        { on_page(it, page); });
}

// The place in flight stays taken for as long as the page took, so that pages
// take half of a link's time at most, whatever its rate.
void records_takeover::on_page(const question& it,
                               const std::optional<peer_records>& page)
{
    if (page)
    {
        for (const auto& told : page->records)
            hooks_.restore(told);
    }
    const auto now = hooks_.now();
    {
        const std::lock_guard lock(mutex_);
        advance(transfers_[it.peer], it, page, now);
    }
    hooks_.after(now - it.asked_at,
                 [this]
                 {
                     {
                         const std::lock_guard lock(mutex_);
                         --in_flight_;
                     }
                     ask_next();
                 });
}

// Pages that don't advance would never end.
void records_takeover::advance(transfer& of, const question& it,
                               const std::optional<peer_records>& page,
                               instant now) const
{
    of.in_flight = false;
    if (!page)
    {
        of.retry_delay =
            std::clamp(2 * of.retry_delay, options_.first_retry_delay,
                       options_.max_retry_delay);
        of.due = now + of.retry_delay;
        return;
    }
    of.retry_delay = duration::zero();
    of.due = now;
    if (page->gone)
        of.skipped = true;
    if (it.round != round_)
        return;
    of.whole = !page->next || *page->next <= it.first_shard;
    of.next_shard = page->next.value_or(of.next_shard);
}

} // namespace lagoonquay
