// Replication: appends, acknowledgements, commits and membership changes.
#include "lagoonquay/version/replica.hpp"

#include <algorithm>

namespace lagoonquay
{

// A leader that no quorum answers steps down, so that a partitioned one
// neither accepts commands nor hides from its clients that it is cut off.
void replica::tick_leader()
{
    ++leading_ticks_;
    std::size_t active = is_voter(log_.members(), options_.self) ? 1 : 0;
    for (auto& [node, it] : followers_)
    {
        ++it.silent_ticks;
        const bool heard = it.silent_ticks <= options_.election_ticks;
        if (heard && is_voter(log_.members(), node))
            ++active;
    }
    if (active < quorum(log_.members()))
        return become_follower(state_.term, std::nullopt);
    if (handing_over_ && ++hand_over_ticks_ >= options_.election_ticks)
        handing_over_ = false;
    if (handing_over_)
        hand_over();
    promote_learners();
    admit_waiting();
    send_to_all(true);
}

void replica::append(entry_content content)
{
    const bool members = std::holds_alternative<membership>(content);
    put({log_index(log_.last().number() + 1), state_.term, std::move(content)});
    if (members)
        follow_members();
    send_to_all(false);
}

void replica::send_entries(const node_id& to, progress& target, bool heartbeat)
{
    if (target.sending)
    {
        if (heartbeat)
            send_chunk(to, target);
        return;
    }
    const log_index previous(target.next.number() - 1);
    const auto previous_term = log_.term_at(previous);
    if (!previous_term)
        return send_chunk(to, target);
    const auto sent = target.next.number() - target.match.number();
    append_request asked{.term = state_.term,
                         .previous = previous,
                         .previous_term = *previous_term,
                         .entries = {},
                         .commit = commit_,
                         .ready = log_.term_at(commit_) == state_.term,
                         .silent = member_silences()};
    if (sent <= options_.window_entries)
        asked.entries = log_.slice(target.next, options_.batch_entries,
                                   options_.batch_bytes);
    if (asked.entries.empty() && !heartbeat)
        return;
    target.next = log_index(target.next.number() + asked.entries.size());
    send(to, std::move(asked), false);
}

std::vector<member_silence> replica::member_silences() const
{
    std::vector<member_silence> found;
    for (const auto& [node, it] : followers_)
    {
        if (it.silent_ticks > options_.election_ticks)
            found.push_back({node, it.silent_ticks});
    }
    return found;
}

void replica::send_to_all(bool heartbeat)
{
    for (auto& [node, it] : followers_)
        send_entries(node, it, heartbeat);
}

void replica::advance_commit()
{
    std::vector<log_index> matches;
    for (const auto& it : log_.members()->members)
    {
        if (!it.voter)
            continue;
        const auto found = followers_.find(it.node);
        if (it.node == options_.self)
            matches.push_back(own_match_);
        else if (found != followers_.end())
            matches.push_back(found->second.match);
    }
    std::sort(matches.rbegin(), matches.rend());
    const auto needed = quorum(log_.members());
    if (matches.size() < needed)
        return;
    const auto reached = matches[needed - 1];
    if (reached <= commit_ || log_.term_at(reached) != state_.term)
        return;
    commit_to(reached);
    caught_up_ = true;
    send_to_all(true);
    if (!is_voter(log_.members_at(commit_), options_.self))
        become_follower(state_.term, std::nullopt);
}

void replica::commit_to(log_index index)
{
    const auto entries = log_.slice(log_index(commit_.number() + 1),
                                    index.number() - commit_.number());
    output_.committed.insert(output_.committed.end(), entries.begin(),
                             entries.end());
    commit_ = index;
}

void replica::store_entries(const append_request& asked)
{
    for (const auto& it : asked.entries)
    {
        if (it.index <= commit_ || log_.term_at(it.index) == it.term)
            continue;
        put(it);
    }
}

void replica::on(const node_id& from, const append_request& asked)
{
    append_reply reply{.term = state_.term,
                       .accepted = false,
                       .match = log_.last(),
                       .previous = asked.previous};
    if (asked.term < state_.term)
        return send(from, reply, false);
    become_follower(asked.term, from);
    told_silences_ = asked.silent;
    const bool known = asked.previous < commit_ ||
                       log_.term_at(asked.previous) == asked.previous_term;
    if (!known)
    {
        const auto before = asked.previous.number() - 1;
        reply.match = std::min(log_.last(), log_index(before));
        return send(from, reply, true);
    }
    store_entries(asked);
    const log_index end(asked.previous.number() + asked.entries.size());
    const auto commit = std::min(asked.commit, end);
    if (commit > commit_)
        commit_to(commit);
    if (asked.ready && commit_ >= asked.commit)
        caught_up_ = true;
    reply.accepted = true;
    reply.match = end;
    send(from, reply, true);
}

void replica::on(const node_id& from, const append_reply& reply)
{
    const auto found = followers_.find(from);
    if (role_ != replica_role::leader || reply.term != state_.term ||
        found == followers_.end())
        return;
    auto& target = found->second;
    target.silent_ticks = 0;
    if (!reply.accepted)
    {
        // Refusals that cross in flight are about requests sent before next
        // was moved back.
        if (reply.previous <= target.match || reply.previous >= target.next)
            return;
        const auto hint =
            std::min(reply.previous, log_index(reply.match.number() + 1));
        target.next = std::max(hint, log_index(target.match.number() + 1));
        return send_entries(from, target, true);
    }
    target.match = std::max(target.match, reply.match);
    target.next = std::max(target.next, log_index(target.match.number() + 1));
    if (target.sending && target.match >= target.sending->index)
        target.sending.reset();
    send_entries(from, target, false);
    advance_commit();
}

void replica::follow_members()
{
    const auto& members = log_.members();
    std::erase_if(followers_, [&](const auto& it)
                  { return find_node(members, it.first) == nullptr; });
    const log_index next(log_.last().number() + 1);
    for (const auto& it : members->members)
    {
        if (it.node != options_.self)
            followers_.emplace(it.node, progress{.next = next});
    }
}

// One change at a time, and none before this term has committed an entry: an
// earlier leader's change could otherwise still win against this one.
bool replica::may_change_members() const noexcept
{
    return role_ == replica_role::leader && !handing_over_ &&
           log_.members_index() <= commit_ &&
           log_.term_at(commit_) == state_.term;
}

// Who asks while another is let in need not wait until it asks again: the next
// loss may come first.
void replica::on_join(const replica_member& joining)
{
    if (role_ != replica_role::leader)
        return;
    if (!may_admit())
        joiners_.insert_or_assign(joining.node, joiner{joining, 0});
    else
        admit(joining);
}

bool replica::may_admit() const noexcept
{
    return may_change_members() &&
           leading_ticks_ >= options_.first_contact_ticks;
}

void replica::admit(const replica_member& joining)
{
    if (find_node(log_.members(), joining.node) != nullptr)
        return;
    if (auto changed = members_with(joining))
        append(*std::move(changed));
}

void replica::admit_waiting()
{
    for (auto& [node, it] : joiners_)
        ++it.ticks;
    std::erase_if(joiners_, [&](const auto& it)
                  { return it.second.ticks > options_.join_ticks; });
    while (!joiners_.empty() && may_admit())
        admit(joiners_.extract(joiners_.begin()).mapped().member);
}

// The old life of a data folder keeps answering heartbeats of members for a
// while when it is only cut off. From another address it is replaced only
// after a silence in which it has stopped doing so. A replica of an unknown
// name fills a free place, or that of the member that is silent for longest.
std::optional<membership>
replica::members_with(const replica_member& joining) const
{
    const auto& all = log_.members();
    if (const auto* old = find_name(all, joining.name))
    {
        const auto found = followers_.find(old->node);
        const auto silence = old->address == joining.address
                                 ? options_.election_ticks
                                 : options_.replace_ticks;
        if (found == followers_.end() || found->second.silent_ticks < silence)
            return std::nullopt;
        return with_learner(all, joining);
    }
    if (all->members.size() < options_.voters)
        return with_learner(all, joining);
    const auto* silent = silent_member(options_.replace_ticks);
    if (options_.voters == 0 || silent == nullptr)
        return std::nullopt;
    return with_learner(without_node(all, silent->node), joining);
}

// @return the member that is silent for longest, and for `ticks` at least.
const replica_member* replica::silent_member(std::uint32_t ticks) const
{
    const replica_member* found = nullptr;
    auto longest = ticks;
    for (const auto& it : log_.members()->members)
    {
        const auto follower = followers_.find(it.node);
        if (follower == followers_.end() ||
            follower->second.silent_ticks < longest)
            continue;
        longest = follower->second.silent_ticks;
        found = &it;
    }
    return found;
}

// A learner becomes a voter once it has stored all that is committed. From
// then on a quorum without any one of the others still holds everything.
void replica::promote_learners()
{
    if (!may_change_members())
        return;
    for (const auto& it : log_.members()->members)
    {
        const auto found = followers_.find(it.node);
        if (it.voter || found == followers_.end())
            continue;
        if (found->second.match < commit_)
            continue;
        return append(with_voter(log_.members(), it.node));
    }
}

} // namespace lagoonquay
