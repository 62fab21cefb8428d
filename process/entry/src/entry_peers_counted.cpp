// Which entries others count, as far as they have told with their votes.
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/request/stable_hash.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

// A number of JSON carries it without loss.
constexpr std::uint64_t digest_mask = (1ULL << 48U) - 1;

// Groups with an entry that joined later than this are not told of: its replica
// doesn't vote yet. It counts as counted from then on.
constexpr duration telling_delay = std::chrono::seconds(1);

// Which others count an entry is worked out once a period, not with each claim.
constexpr duration counted_period = std::chrono::milliseconds(50);

// Doesn't depend on the order in which they are added.
entries_digest with_toggled(entries_digest digest, const endpoint& entry)
{
    const auto hash =
        mix_hash(stable_hash(stable_hash_start, to_text(entry))) & digest_mask;
    return entries_digest(digest.number() ^ hash);
}

// The earliest time counts: a replica that has counted an entry since then has
// told of it with each vote.
void note_since(std::map<endpoint, instant>& counted, const endpoint& replica,
                instant since)
{
    const auto found = counted.try_emplace(replica, since).first;
    found->second = std::min(found->second, since);
}

} // namespace

std::vector<counted_entry> entry_peers::take_counted()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(newly_counted_, {});
}

claim_request entry_peers::tell_entries(const claim_request& request) const
{
    const std::lock_guard lock(mutex_);
    if (!first_list_time_)
        return request;
    const bool joins =
        is_joining() ||
        std::any_of(entries_.begin(), entries_.end(),
                    [](const auto& it) { return it.second.joined; });
    return request.with(
        [&](claim_request_options& it)
        {
            it.entries = digest_;
            it.asks_entries = joins;
        });
}

claim_vote entry_peers::tell_entries(
    const claim_vote& vote, const claim_request& asked,
    const std::function<std::vector<replica_group>(const submission_id&)>&
        groups)
{
    const auto now = now_();
    bool same = false;
    std::optional<duration> counted_for;
    std::set<endpoint> latest;
    {
        const std::lock_guard lock(mutex_);
        remove_unlisted();
        same = first_list_time_ && asked->entries == digest_;
        counted_for = counted_all_for(now);
        for (const auto& [address, it] : entries_)
        {
            if (it.joined && now - it.first_listed <= telling_delay)
                latest.insert(address);
        }
    }
    if (asked->entries == entries_digest() || (same && !asked->asks_entries))
        return vote;
    std::vector<std::vector<endpoint>> told;
    const auto own = parse_endpoint(own_);
    if (!asked->submission.empty() && groups && own)
    {
        for (auto& it : groups(asked->submission))
        {
            if (std::any_of(it.others.begin(), it.others.end(),
                            [&](const endpoint& other)
                            { return latest.contains(other); }))
                continue;
            if (it.local)
                it.others.push_back(own.value());
            told.push_back(std::move(it.others));
        }
    }
    return vote.with(
        [&](claim_vote_options& it)
        {
            if (asked->asks_entries)
            {
                it.same_entries = same && counted_for;
                it.entries_for = counted_for.value_or(duration::zero());
            }
            it.groups = std::move(told);
        });
}

held_claims entry_peers::with_entries(held_claims answer)
{
    answer.established = established();
    answer.listed_for = listed_for();
    answer.entries_for = duration::zero();
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    const auto counted_for = counted_all_for(now);
    if (!counted_for)
        return answer;
    answer.entries = digest_;
    answer.entries_for = counted_for;
    return answer;
}

std::vector<replica_group> entry_peers::note_vote(const endpoint& replica,
                                                  const claim_request& asked,
                                                  const claim_vote& vote)
{
    const auto now = now_();
    const std::lock_guard lock(mutex_);
    if (asked->asks_entries && !vote->same_entries)
        note_earlier_version(replica);
    else if (asked->asks_entries && *vote->same_entries &&
             asked->entries == digest_)
        note_counted(replica, now - vote->entries_for);
    std::vector<replica_group> found;
    for (const auto& it : vote->groups)
    {
        if (is_of_use(it, now))
            found.push_back(as_group(it, now));
    }
    return found;
}

// Call these with the lock held.
// The holder would take a zero for "since now", while the latest one counts
// only from the end of the delay on.
std::optional<duration> entry_peers::counted_all_for(instant now) const
{
    if (!first_list_time_ || now - last_joined_ < telling_delay)
        return std::nullopt;
    return now - last_joined_ - telling_delay;
}

void entry_peers::note_counted(const endpoint& replica, instant since)
{
    if (!counted_itself_)
        note_since(own_counted_since_, replica, since);
    for (auto& [address, it] : entries_)
    {
        if (it.joined && address != replica)
            note_since(it.counted_since, replica, since);
    }
}

// One of an earlier version doesn't tell. It is taken to count an entry since
// this one does.
void entry_peers::note_earlier_version(const endpoint& replica)
{
    if (!counted_itself_)
        note_since(own_counted_since_, replica, *first_list_time_);
    for (auto& [address, it] : entries_)
    {
        if (it.joined && address != replica)
            note_since(it.counted_since, replica, it.first_listed);
    }
}

// Few at once, so that a join costs a fleet of any size little at a time.
std::vector<endpoint> entry_peers::not_told() const
{
    constexpr std::size_t max_asked = 5;
    std::vector<endpoint> found;
    const bool joining = is_joining();
    for (const auto& [replica, known] : entries_)
    {
        const bool missing =
            (joining && !own_counted_since_.contains(replica) &&
             is_older(replica, known)) ||
            std::any_of(entries_.begin(), entries_.end(),
                        [&, &asked = replica](const auto& it)
                        {
                            return it.second.joined && it.first != asked &&
                                   !it.second.counted_since.contains(asked);
                        });
        if (missing && !misses_lists(known))
            found.push_back(replica);
        if (found.size() == max_asked)
            break;
    }
    return found;
}

void entry_peers::note_joined(const endpoint& address, instant now)
{
    digest_ = with_toggled(digest_, address);
    last_joined_ = now;
    if (!first_list_time_)
    {
        first_list_time_ = now;
        counted_itself_ = false;
        return;
    }
    const auto found = entries_.find(address);
    if (found != entries_.end())
        found->second.joined = is_fresh(found->second, now);
}

void entry_peers::forget_counted(const endpoint& replica)
{
    digest_ = with_toggled(digest_, replica);
    forget_word(replica);
}

// The next process of a replica may not know what the earlier one knew.
void entry_peers::forget_word(const endpoint& replica)
{
    own_counted_since_.erase(replica);
    for (auto& [address, it] : entries_)
        it.counted_since.erase(replica);
    last_count_ = instant();
}

// Others may not have received a list with a peer that joined, and claims that
// were made without it may be valid: for `retention_` at least, and until all
// others have counted it for so long. An entry that has just started has no
// earlier list to compare with, so peers that are listed within a second of its
// first list have not joined. One that began anew and keeps its place has heard
// from the others who was there before.
void entry_peers::update_counted(instant now)
{
    if (!first_list_time_)
        return;
    const bool began_anew =
        now - *first_list_time_ <= retention_ && keeps_its_place();
    for (auto& [address, it] : entries_)
    {
        if (began_anew && !is_fresh(it, now))
            it.joined = !is_told_established(address);
    }
    if (now - last_count_ < counted_period)
        return;
    last_count_ = now;
    for (auto& [address, it] : entries_)
    {
        if (!it.joined || now - it.first_listed <= retention_)
            continue;
        std::set<endpoint> counted;
        for (const auto& [replica, since] : it.counted_since)
        {
            if (now - since > retention_)
                counted.insert(replica);
        }
        const bool all = std::all_of(entries_.begin(), entries_.end(),
                                     [&, &own = address](const auto& peer) {
                                         return peer.first == own ||
                                                counted.contains(peer.first);
                                     });
        if (all)
        {
            newly_counted_.push_back({address,
                                      it.id,
                                      now - it.first_listed,
                                      {counted.begin(), counted.end()}});
            it.joined = false;
            it.counted_since.clear();
            it.counted_by = nullptr;
        }
        else if (!it.counted_by || *it.counted_by != counted)
            it.counted_by =
                std::make_shared<const std::set<endpoint>>(std::move(counted));
    }
    update_own(now);
}

// While it is new it asks the older ones for at least `retention_`.
void entry_peers::update_own(instant now)
{
    if (counted_itself_ || now - *first_list_time_ <= retention_)
        return;
    counted_itself_ = keeps_its_place() ||
                      std::all_of(entries_.begin(), entries_.end(),
                                  [&](const auto& it) {
                                      return !is_older(it.first, it.second) ||
                                             counts_self(it.first, now);
                                  });
    if (counted_itself_)
        own_counted_since_.clear();
}

bool entry_peers::is_joining() const
{
    return first_list_time_ && !counted_itself_ && !keeps_its_place();
}

bool entry_peers::counts_self(const endpoint& replica, instant now) const
{
    const auto found = own_counted_since_.find(replica);
    return found != own_counted_since_.end() &&
           now - *first_list_time_ > retention_ &&
           now - found->second > retention_;
}

// The others drop it in this time as well, and then it may join again.
bool entry_peers::was_removed(const endpoint& address, instant now) const
{
    return std::any_of(removed_.begin(), removed_.end(),
                       [&](const auto& it)
                       {
                           return it.second.address == address &&
                                  now - it.second.removed_at <= retention_;
                       });
}

bool entry_peers::is_of_use(const std::vector<endpoint>& group,
                            instant now) const
{
    const auto own = parse_endpoint(own_);
    bool found = is_joining();
    for (const auto& it : group)
    {
        const auto known = entries_.find(it);
        if (known != entries_.end())
            found = found || known->second.joined;
        else if (!own || it != own.value())
            found = found || !was_removed(it, now);
    }
    return found;
}

replica_group entry_peers::as_group(const std::vector<endpoint>& members,
                                    instant now) const
{
    const auto own = parse_endpoint(own_);
    replica_group group;
    group.local = false;
    group.includes_all_entries = false;
    for (const auto& it : members)
    {
        const auto known = entries_.find(it);
        if (own && it == own.value())
            group.local = true;
        else if (known != entries_.end() ? misses_lists(known->second)
                                         : was_removed(it, now))
            group.unlisted.push_back(it);
        else
            group.others.push_back(it);
    }
    group.others.insert(group.others.end(), group.unlisted.begin(),
                        group.unlisted.end());
    return group;
}

} // namespace lagoonquay
