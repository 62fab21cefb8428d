#include "permit_rounds.hpp"

#include "lagoonquay/process/decision_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "permit";

// Without a permit for this long, the first replicas are asked as well.
constexpr duration ask_widely_after = std::chrono::seconds(1);

std::size_t voters_of(const membership& all)
{
    const auto n =
        std::count_if(all->members.begin(), all->members.end(),
                      [](const replica_member& it) { return it.voter; });
    return static_cast<std::size_t>(n);
}

bool counts(const membership& all, const permit_vote& vote) noexcept
{
    const auto* it = find_name(all, vote.replica);
    return it != nullptr && it->voter;
}

//! @return the view of an answer with all its queues.
std::optional<fleet_view> whole_view(const permit_reply& reply,
                                     const queue_catalog& known)
{
    if (!reply.vote || !reply.vote->view)
        return std::nullopt;
    const auto& view = *reply.vote->view;
    if (!reply.queue_changes)
        return view;
    const auto catalog = apply_changes(known, *reply.queue_changes);
    if (!catalog)
        return std::nullopt;
    return view.with([&](fleet_view_options& it) { it.catalog = *catalog; });
}

} // namespace

heartbeat_round::heartbeat_round(instant sent) : sent_(sent)
{
}

instant heartbeat_round::sent() const noexcept
{
    return sent_;
}

void heartbeat_round::add(permit_vote vote)
{
    const std::lock_guard lock(mutex_);
    votes_.push_back(std::move(vote));
}

std::vector<permit_vote> heartbeat_round::votes() const
{
    const std::lock_guard lock(mutex_);
    return votes_;
}

permit_rounds::permit_rounds(permit_client_hooks hooks,
                             std::vector<endpoint> first)
    : hooks_(std::move(hooks)), first_(std::move(first))
{
}

const permit_client_hooks& permit_rounds::hooks() const noexcept
{
    return hooks_;
}

void permit_rounds::set_first(std::vector<endpoint> first)
{
    const std::lock_guard lock(mutex_);
    first_ = std::move(first);
}

std::shared_ptr<heartbeat_round> permit_rounds::take_round()
{
    const auto now = hooks_.now();
    const std::lock_guard lock(mutex_);
    if (!pacing_.take(now))
        return nullptr;
    newest_ = std::make_shared<heartbeat_round>(now);
    return newest_;
}

std::vector<endpoint> permit_rounds::targets() const
{
    const std::lock_guard lock(mutex_);
    std::set<endpoint> found;
    for (const auto& it : replicas_.all->members)
    {
        if (const auto address = parse_endpoint(it.address))
            found.insert(address.value());
    }
    const bool lost = !granted_ || hooks_.now() - *granted_ > ask_widely_after;
    if (lost)
        found.insert(first_.begin(), first_.end());
    return {found.begin(), found.end()};
}

permit_request permit_rounds::heartbeat(const endpoint& replica) const
{
    permit_request asked;
    asked.sender = hooks_.self();
    asked.known = known()->version;
    const std::lock_guard lock(mutex_);
    asked.known_replicas = replicas_.index;
    const auto found = members_.find(replica);
    if (found != members_.end())
        asked.known_members = found->second.mark();
    return asked;
}

// The majority is that of the newest replicas heard of. Replicas change one at
// a time, so two neighbouring sets have no majorities apart.
void permit_rounds::take(heartbeat_round& round, const endpoint& replica,
                         const permit_reply& reply)
{
    if (reply.replicas)
        learn(*reply.replicas);
    learn_members(replica, reply.members);
    if (!reply.vote)
        return;
    {
        const std::lock_guard lock(mutex_);
        fetch_.heard(replica, reply.vote->version);
    }
    round.add(*reply.vote);
    merge(round);
}

std::optional<view_query> permit_rounds::take_query()
{
    const auto version = known()->version;
    const std::lock_guard lock(mutex_);
    return fetch_.take(version);
}

permit_request permit_rounds::question(const endpoint& replica) const
{
    auto asked = heartbeat(replica);
    asked.wants_view = true;
    asked.known_queues = known()->catalog->revision;
    return asked;
}

// The permit need not wait for the next round: the votes of the newest one are
// as good with the view that they lacked.
bool permit_rounds::take_view(const permit_reply& reply)
{
    const auto view = whole_view(reply, known()->catalog);
    if (!view)
        return false;
    std::shared_ptr<heartbeat_round> round;
    {
        const std::lock_guard lock(mutex_);
        fetch_.arrived();
        if ((*view)->version > fetched_->version)
            fetched_ = *view;
        round = newest_;
    }
    if (round)
        merge(*round);
    return true;
}

void permit_rounds::query_failed()
{
    const std::lock_guard lock(mutex_);
    fetch_.failed();
}

void permit_rounds::notice_loss()
{
    std::int64_t silent_ms = -1;
    {
        const std::lock_guard lock(mutex_);
        const auto now = hooks_.now();
        if (lost_ || !granted_ || now - *granted_ <= permit_duration)
            return;
        lost_ = true;
        silent_ms = milliseconds_of(now - *granted_);
    }
    write_event(log_level::warning, part, {}, "control_lost",
                {{"silent_ms", silent_ms}});
}

fleet_view permit_rounds::known() const
{
    const auto applied = hooks_.known();
    const std::lock_guard lock(mutex_);
    return applied->version < fetched_->version ? fetched_ : applied;
}

void permit_rounds::learn(const replica_set& heard)
{
    const std::lock_guard lock(mutex_);
    if (heard.index > replicas_.index)
        replicas_ = heard;
}

void permit_rounds::learn_members(const endpoint& replica,
                                  const member_changes& changes)
{
    std::vector<member> agents;
    std::vector<member> entries;
    {
        const std::lock_guard lock(mutex_);
        auto& heard = members_[replica];
        heard.apply(changes);
        agents = heard.agents();
        entries = heard.entries();
    }
    if (hooks_.learn && !(agents.empty() && entries.empty()))
        hooks_.learn(agents, entries);
}

void permit_rounds::merge(const heartbeat_round& round)
{
    membership replicas;
    {
        const std::lock_guard lock(mutex_);
        replicas = replicas_.all;
    }
    std::vector<permit_vote> counted;
    for (auto& it : round.votes())
    {
        if (counts(replicas, it))
            counted.push_back(std::move(it));
    }
    const auto voters = voters_of(replicas);
    if (!is_majority(counted, voters))
        return;
    if (hooks_.heard)
        hooks_.heard();
    const auto merged = merge_votes(counted, voters, known(), round.sent());
    if (merged)
        set_permit(*merged, round.sent());
}

void permit_rounds::set_permit(const permit& granted, instant sent)
{
    bool regained = false;
    {
        const std::lock_guard lock(mutex_);
        granted_ = std::max(granted_.value_or(sent), sent);
        pacing_.granted();
        regained = std::exchange(lost_, false);
    }
    if (regained)
        write_event(log_level::info, part, {}, "control_regained",
                    {{"answered_in_ms", milliseconds_of(hooks_.now() - sent)}});
    hooks_.set_permit(granted);
}

} // namespace lagoonquay
