// Elections: pre-vote, votes, check-quorum and hand-over.
#include "lagoonquay/version/replica.hpp"

#include <algorithm>

namespace lagoonquay
{

void replica::become_follower(term_number term, std::optional<node_id> leader)
{
    if (term > state_.term)
        set_term(term, std::nullopt);
    role_ = replica_role::follower;
    if (leader)
    {
        heard_leader_ = leader;
        leaderless_ticks_ = 0;
    }
    leader_ = std::move(leader);
    followers_.clear();
    joiners_.clear();
    granted_.clear();
    handing_over_ = false;
    reset_timeout();
}

// A leader commits only entries of its own term, so it appends one at once.
// Members stay silent from one leader to the next: where leaders are lost in
// series, none of them would else wait long enough to replace a lost member.
void replica::become_leader()
{
    role_ = replica_role::leader;
    leader_ = options_.self;
    leading_ticks_ = 0;
    follow_members();
    for (auto& [node, it] : followers_)
        it.silent_ticks = granted_.contains(node) ? 0 : known_silence(node);
    granted_.clear();
    append(no_operation{});
}

// @return for how long the member has been silent, as far as this replica heard
// from the last leader; zero if it was not.
std::uint32_t replica::known_silence(const node_id& node) const
{
    if (heard_leader_ == node)
        return leaderless_ticks_;
    for (const auto& it : told_silences_)
    {
        if (it.node == node)
            return it.ticks + leaderless_ticks_;
    }
    return 0;
}

void replica::campaign(bool trial, bool by_hand_over)
{
    const term_number next(state_.term.number() + 1);
    reset_timeout();
    role_ = trial ? replica_role::pre_candidate : replica_role::candidate;
    leader_.reset();
    granted_ = {options_.self};
    if (!trial)
        set_term(next, options_.self);
    const vote_request asked{.term = next,
                             .last = log_.last(),
                             .last_term = log_.last_term(),
                             .trial = trial,
                             .hand_over = by_hand_over};
    for (const auto& it : log_.members()->members)
    {
        if (it.voter && it.node != options_.self)
            send(it.node, asked, true);
    }
    count_vote(options_.self, trial);
}

// Learners and replicas that are in no cluster never ask for votes.
void replica::tick_follower()
{
    ++quiet_ticks_;
    ++leaderless_ticks_;
    if (quiet_ticks_ < timeout_ticks_)
        return;
    if (!is_voter(log_.members(), options_.self))
        return;
    campaign(true, false);
}

void replica::count_vote(const node_id& from, bool trial)
{
    if (is_voter(log_.members(), from))
        granted_.insert(from);
    if (granted_.size() < quorum(log_.members()))
        return;
    if (trial)
        campaign(false, false);
    else
        become_leader();
}

// A learner votes when asked: only a leader that saw it hold the log can have
// made it a voter, and its own copy of that entry may still be on the way.
void replica::on(const node_id& from, const vote_request& asked)
{
    const bool newer_trial = asked.trial && asked.term > state_.term;
    const bool free_vote = !asked.trial && asked.term == state_.term &&
                           (!state_.vote || state_.vote == from);
    const bool granted = (newer_trial || free_vote) && holds_all_of(asked) &&
                         !goes_first(from, asked);
    if (granted && !asked.trial)
    {
        if (!state_.vote)
            set_term(state_.term, from);
        reset_timeout();
    }
    send(from,
         vote_reply{.term = granted ? asked.term : state_.term,
                    .trial = asked.trial,
                    .granted = granted},
         true);
}

// Of two that ask at once with the same log, one stands back: where every vote
// is needed, both would fail.
bool replica::goes_first(const node_id& other,
                         const vote_request& asked) const noexcept
{
    return asked.trial && role_ == replica_role::pre_candidate &&
           asked.last == log_.last() && asked.last_term == log_.last_term() &&
           options_.self < other;
}

void replica::on(const node_id& from, const vote_reply& reply)
{
    if (!reply.granted)
        return;
    const term_number next(state_.term.number() + 1);
    if (reply.trial && role_ == replica_role::pre_candidate &&
        reply.term == next)
        return count_vote(from, true);
    if (!reply.trial && role_ == replica_role::candidate &&
        reply.term == state_.term)
        count_vote(from, false);
}

void replica::on(const node_id& from, const hand_over_request& asked)
{
    if (asked.term != state_.term || leader_ != from)
        return;
    if (role_ != replica_role::follower)
        return;
    if (is_voter(log_.members(), options_.self))
        campaign(false, true);
}

void replica::hand_over()
{
    if (role_ != replica_role::leader)
        return;
    const node_id* best = nullptr;
    log_index best_match;
    for (const auto& [node, it] : followers_)
    {
        if (!is_voter(log_.members(), node))
            continue;
        if (it.silent_ticks >= options_.election_ticks || it.match < best_match)
            continue;
        best = &node;
        best_match = it.match;
    }
    if (best == nullptr)
        return;
    handing_over_ = true;
    hand_over_ticks_ = 0;
    if (best_match == log_.last())
        send(*best, hand_over_request{state_.term}, false);
}

bool replica::knows_live_leader() const noexcept
{
    if (role_ == replica_role::leader)
        return true;
    return leader_ && quiet_ticks_ < options_.election_ticks;
}

bool replica::holds_all_of(const vote_request& asked) const noexcept
{
    if (asked.last_term != log_.last_term())
        return asked.last_term > log_.last_term();
    return asked.last >= log_.last();
}

void replica::reset_timeout()
{
    quiet_ticks_ = 0;
    timeout_ticks_ =
        options_.election_ticks + hooks_.draw(options_.election_ticks);
}

} // namespace lagoonquay
