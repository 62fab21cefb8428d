#include "lagoonquay/process/entry_peers.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

// Time after the first list within which control lists every live entry.
constexpr duration listing_delay = std::chrono::seconds(1);

// Two leases of 1.5 s. With a shorter one a single list that lacks an entry and
// comes late would already deny it its votes.
constexpr duration min_retention = std::chrono::seconds(3);

// Time after the first list within which each entry that was in it, or joined
// within listing_delay, is listed to all others.
constexpr duration fleet_start_duration = 2 * listing_delay;

bool contains(const std::vector<endpoint>& all, const endpoint& wanted)
{
    return std::find(all.begin(), all.end(), wanted) != all.end();
}

bool is_named(const std::map<endpoint, std::vector<endpoint>>& established_at,
              const endpoint& wanted)
{
    return std::any_of(established_at.begin(), established_at.end(),
                       [&](const auto& told)
                       { return contains(told.second, wanted); });
}

} // namespace

duration entry_retention(duration claim_lease) noexcept
{
    return std::max(2 * claim_lease, min_retention);
}

entry_peers::entry_peers(std::string own, duration retention, clock_hook now)
    : own_(std::move(own)), retention_(retention), now_(std::move(now))
{
}

// A replica of control that is cut off with this entry soon lists no other, and
// the others go on.
void entry_peers::learn(const std::vector<member>& entries, bool in_touch)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    if (entries.empty())
        return;
    const auto own = parse_endpoint(own_);
    if (!first_list_time_)
        note_joined(own ? own.value() : endpoint(), now);
    forget_ended(now);
    if (in_touch)
        note_list(now);
    for (const auto& it : entries)
    {
        const auto address = parse_endpoint(it->address);
        if (!address || it->address == own_)
            continue;
        const auto [found, is_new] = entries_.try_emplace(
            address.value(),
            listed_entry{it->id, it->run, it->domain, now, now, {}, {}, {}});
        auto& known = found->second;
        if (is_new)
            note_joined(address.value(), now);
        if (!is_new && known.run != it->run)
            forget_word(address.value());
        if (is_new || known.run != it->run)
            changes_.push_back({address.value(), it->id, it->run});
        known.id = it->id;
        known.run = it->run;
        known.last_listed = now;
        const auto removed = removed_.find(it->id);
        if (removed != removed_.end() && removed->second.run == it->run)
            removed_.erase(removed);
    }
    update_counted(now);
}

// After a gap the first lists may lack entries that have not reached control
// again yet, or that a replica which began anew has not heard of. So ages stand
// still in the gap. What was unlisted before it remains so: the others may have
// heard more lists, and drop it sooner.
void entry_peers::note_list(instant now)
{
    const auto gap = now - last_list_time_;
    last_list_time_ = now;
    if (gap <= max_list_gap)
        return;
    for (auto& [address, it] : entries_)
        it.last_listed = std::min(now, it.last_listed + gap);
}

// A process that goes on asks for votes at least once a second. One that asks
// nobody here for so long has ended, or is out of reach; where it comes back it
// reaches control as well, which lists it again.
void entry_peers::forget_ended(instant now)
{
    std::erase_if(removed_, [&](const auto& it)
                  { return now - it.second.last_asked >= removed_retention; });
}

std::size_t entry_peers::removed_count() const
{
    const std::lock_guard lock(mutex_);
    return removed_.size();
}

bool entry_peers::known() const
{
    const std::lock_guard lock(mutex_);
    return first_list_time_.has_value();
}

std::vector<peer_change> entry_peers::take_changes()
{
    const std::lock_guard lock(mutex_);
    remove_unlisted();
    return std::exchange(changes_, {});
}

std::vector<endpoint> entry_peers::current()
{
    const std::lock_guard lock(mutex_);
    remove_unlisted();
    std::vector<endpoint> found;
    for (const auto& [address, it] : entries_)
        found.push_back(address);
    return found;
}

std::vector<ledger_peer> entry_peers::replicas()
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    remove_unlisted();
    update_counted(now);
    std::vector<ledger_peer> found;
    const bool joining = is_joining();
    for (const auto& [address, it] : entries_)
        found.push_back({address, it.domain, it.joined,
                         joining && is_older(address, it), misses_lists(it),
                         it.first_listed, it.counted_by,
                         counts_self(address, now)});
    return found;
}

// The next process of a removed entry is served, as one that joins.
bool entry_peers::is_unlisted(const entry_id& entry, incarnation run)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    remove_unlisted();
    const auto removed = removed_.find(entry.text());
    if (removed != removed_.end() && removed->second.run == run)
    {
        removed->second.last_asked = now;
        return true;
    }
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const auto& it)
                       {
                           const auto& known = it.second;
                           return known.id == entry.text() &&
                                  known.run == run && misses_lists(known);
                       });
}

void entry_peers::learn_established(const endpoint& peer,
                                    const std::vector<endpoint>& established,
                                    duration listed_for)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    const bool is_new_itself =
        established.empty() && listed_for > duration::zero();
    if (is_new_itself)
        first_lists_[peer] = now - listed_for;
    else
        first_lists_.erase(peer);
    const auto told = established_at_.try_emplace(peer).first;
    // The next process of a peer knows less than the one that told before.
    if (!is_new_itself)
        told->second = established;
}

void entry_peers::take_answer(const endpoint& peer,
                              const std::optional<held_claims>& answer)
{
    if (answer && answer->gone)
        learn_established(peer, {});
    else if (answer && answer->established)
        learn_established(peer, *answer->established, answer->listed_for);
    if (!answer || answer->gone || !answer->established)
        return;
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    if (!answer->entries_for)
        note_earlier_version(peer);
    else if (answer->entries == digest_)
        note_counted(peer, now - *answer->entries_for);
}

// Also where it keeps its place: the others may have been about to drop it.
std::vector<endpoint> entry_peers::to_ask_for_established()
{
    const auto now = now_();
    {
        const std::lock_guard lock(mutex_);
        if (!first_list_time_ || now - *first_list_time_ > retention_)
            return not_told();
    }
    return current();
}

duration entry_peers::listed_for() const
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    return first_list_time_ ? now - *first_list_time_ : duration::zero();
}

std::vector<endpoint> entry_peers::established()
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    remove_unlisted();
    std::vector<endpoint> found;
    const auto own = parse_endpoint(own_);
    if (!first_list_time_ || !own || (is_new(now) && !started_with_fleet(now)))
        return found;
    found.push_back(own.value());
    const bool began_anew =
        now - *first_list_time_ <= retention_ && keeps_its_place();
    for (const auto& [address, it] : entries_)
    {
        const bool joined_meanwhile =
            began_anew && !is_named(established_at_, address);
        if (!is_fresh(it, now) && !joined_meanwhile)
            found.push_back(address);
    }
    return found;
}

// Call these with the lock held.
bool entry_peers::is_told_established(const endpoint& address) const
{
    return is_named(established_at_, address);
}

bool entry_peers::is_new(instant now) const
{
    return first_list_time_ && now - *first_list_time_ <= retention_ &&
           !keeps_its_place();
}

// An entry that started again so soon that the others have not dropped it is in
// the groups of all of them.
bool entry_peers::keeps_its_place() const
{
    const auto own = parse_endpoint(own_);
    bool kept = false;
    for (const auto& [peer, known] : established_at_)
    {
        if (known.empty())
            continue;
        kept = own && contains(known, own.value());
        if (!kept)
            return false;
    }
    return kept;
}

// Whoever joins later than this does so after the entries of a fleet that has
// just started, although these are new themselves. An older entry that hasn't
// told yet may know this one as the newcomer.
bool entry_peers::started_with_fleet(instant now) const
{
    if (now - *first_list_time_ <= fleet_start_duration || earlier_start())
        return false;
    return std::all_of(entries_.begin(), entries_.end(),
                       [&](const auto& it)
                       {
                           if (is_fresh(it.second, now))
                               return true;
                           const auto told = established_at_.find(it.first);
                           return told != established_at_.end() &&
                                  told->second.empty();
                       });
}

// Others change their groups once an entry was not listed for `retention_`, two
// leases or more. A third of it leaves time for claims granted until then to
// end, and for lists that come later to some. From then on the entry neither
// gets nor gives votes.
bool entry_peers::misses_lists(const listed_entry& it) const
{
    return last_list_time_ - it.last_listed > retention_ / unlisted_part;
}

bool entry_peers::is_fresh(const listed_entry& it, instant now) const
{
    return it.first_listed - *first_list_time_ > listing_delay &&
           now - it.first_listed <= retention_;
}

// The entries that a fleet began with tell of none for fleet_start_duration,
// but may not have heard of this one. They are known by their first lists, if
// these came earlier. Half of listing_delay, as they may hear of this entry
// later than it does itself, and then count it as one that joined.
// With first lists at 0 s, at 0.8 s and here at 2 s both are of the start, up
// to 1 s. If the own one came at 0.8 s, only lists up to 0.3 s count as
// earlier.
// @return the last time of such a list, while no peer has named older entries.
std::optional<instant> entry_peers::earlier_start() const
{
    const bool named =
        std::any_of(established_at_.begin(), established_at_.end(),
                    [](const auto& told) { return !told.second.empty(); });
    if (named)
        return std::nullopt;
    auto earliest = *first_list_time_;
    for (const auto& [peer, first_list] : first_lists_)
    {
        if (entries_.contains(peer))
            earliest = std::min(earliest, first_list);
    }
    const auto own_delay = *first_list_time_ - earliest;
    if (own_delay <= listing_delay / 2)
        return std::nullopt;
    if (own_delay <= listing_delay)
        return *first_list_time_ - listing_delay / 2;
    return earliest + listing_delay;
}

// Until it has told, a peer of the first list counts as older. If the whole
// fleet is new, no peer knows an older one, and those are older that it began
// with.
bool entry_peers::is_older(const endpoint& address,
                           const listed_entry& it) const
{
    const bool silent = !established_at_.contains(address) &&
                        it.first_listed == *first_list_time_;
    if (silent || is_named(established_at_, address))
        return true;
    const auto start = earlier_start();
    const auto told = first_lists_.find(address);
    return start && told != first_lists_.end() && told->second <= *start;
}

// Call with the lock held. The age of a list entry is measured against the last
// list instead of the clock, so that no peer is removed while control is
// unreachable: an entry without peers would grant its claims alone.
void entry_peers::remove_unlisted()
{
    const auto now = now_();
    std::vector<endpoint> dropped;
    std::erase_if(
        entries_,
        [&](const auto& it)
        {
            const auto& known = it.second;
            const bool gone = last_list_time_ - known.last_listed > retention_;
            if (!gone)
                return false;
            removed_.insert_or_assign(
                known.id, removed_entry{known.run, now, it.first, now});
            dropped.push_back(it.first);
            changes_.push_back({it.first, known.id, known.run, true});
            return true;
        });
    for (const auto& it : dropped)
        forget_counted(it);
}

} // namespace lagoonquay
