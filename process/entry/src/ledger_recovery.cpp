#include "lagoonquay/process/ledger_recovery.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

ledger_recovery::ledger_recovery(ledger_recovery_options options,
                                 ledger_recovery_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), started_at_(hooks_.now()),
      last_peer_end_(started_at_), records_(options_.records, records_hooks())
{
}

records_takeover_hooks ledger_recovery::records_hooks()
{
    return {.now = hooks_.now,
            .after = hooks_.after,
            .ask_for_page = hooks_.ask_for_records,
            .restore = hooks_.restore_record};
}

// The records are asked for after every peer has reported or was found gone: a
// claim that needs a vote of this replica's earlier life was asked for before
// this process began. Its holder, if it lives, reports it as held or in flight.
// If it is dead, the other votes were given before its end. Once is enough: a
// claim that is asked for later has a majority without this replica, or a vote
// of its own.
//
// While a peer is silent, the others' records are taken as well, since those
// peers may end meanwhile. That proves nothing: once all have reported, the
// records are asked for again.
//
// A live entry reports the claims that it holds, even if every other replica
// has lost them. The runs of a dead entry end by themselves.
void ledger_recovery::tick()
{
    {
        const std::lock_guard lock(mutex_);
        if (done_)
            return;
    }
    // Before the lists, so that these are not older, even after a pause here.
    const auto now = hooks_.now();
    const auto peers = hooks_.peers();
    if (!peers)
        return;
    const bool stray_runs = !hooks_.no_stray_runs();
    std::vector<endpoint> for_records;
    std::optional<ledger_completion> finished;
    {
        const std::lock_guard lock(mutex_);
        if (done_)
            return;
        peers_ = *peers;
        for (const auto& it : *peers)
        {
            if (!peers_without_old_runs_.contains(it) &&
                queried_peers_.insert(it).second)
                waiting_peers_.push_back(it);
        }
        finished = completion(*peers, stray_runs, now);
        done_ = finished.has_value();
        if (!done_ && needs_records(now))
            for_records = peers_for_records();
    }
    if (finished)
    {
        records_.end();
        return hooks_.done(*finished);
    }
    ask_next();
    if (!for_records.empty())
        records_.take_from(for_records);
    else if (!needs_records(now))
        records_.end();
}

void ledger_recovery::ask_next()
{
    while (const auto it = take_waiting())
        hooks_.ask(*it,
                   [this, it = *it](const std::optional<held_claims>& answer)
                   { on_answer(it, answer); });
}

// Each peer is asked once before any is asked again. Those that are silent
// must not hold up the others.
//! @return the next peer to ask, if one may be asked now.
std::optional<endpoint> ledger_recovery::take_waiting()
{
    const auto now = hooks_.now();
    const std::lock_guard lock(mutex_);
    if (done_ || waiting_peers_.empty())
        return std::nullopt;
    const auto expected =
        std::count_if(asked_peers_.begin(), asked_peers_.end(),
                      [&](const auto& it)
                      { return now - it.second < options_.answer_patience; });
    if (static_cast<std::size_t>(expected) >= options_.max_peers_asked)
        return std::nullopt;
    auto next = std::move(waiting_peers_.front());
    waiting_peers_.pop_front();
    asked_peers_[next] = now;
    return next;
}

// Later it votes by its age.
bool ledger_recovery::needs_records(instant now) const
{
    return now - started_at_ <= options_.records_needed_for;
}

void ledger_recovery::on_answer(const endpoint& peer,
                                const std::optional<held_claims>& answer)
{
    if (answer)
    {
        for (const auto& it : answer->claims)
            hooks_.restore_claim(it);
    }
    std::vector<endpoint> for_records;
    {
        const std::lock_guard lock(mutex_);
        asked_peers_.erase(peer);
        queried_peers_.erase(peer);
        if (answer)
            note_answer(peer, *answer);
        else
            silent_peers_.insert(peer);
        if (!done_ && needs_records(hooks_.now()))
            for_records = peers_for_records();
    }
    ask_next();
    if (!for_records.empty())
        records_.take_from(for_records);
}

// Requires the lock.
void ledger_recovery::note_answer(const endpoint& peer,
                                  const held_claims& answer)
{
    if (answer.gone)
        note_end(peer);
    silent_peers_.erase(peer);
    answered_peers_.insert(peer);
    if (answer.settled)
        peers_without_old_runs_.insert(peer);
}

//! Requires the lock.
//! @return the peers whose records are to be taken now.
std::vector<endpoint> ledger_recovery::peers_for_records()
{
    if (have_all_answered())
    {
        if (std::exchange(took_early_, false))
            records_.restart();
        return peers_;
    }
    std::vector<endpoint> reported;
    bool waits_for_silent = false;
    for (const auto& it : peers_)
    {
        if (answered_peers_.contains(it))
            reported.push_back(it);
        else
            waits_for_silent = waits_for_silent || silent_peers_.contains(it);
    }
    if (!waits_for_silent)
        return {};
    took_early_ = took_early_ || !reported.empty();
    return reported;
}

//! Requires the lock.
bool ledger_recovery::have_all_answered() const
{
    return !peers_.empty() &&
           std::all_of(peers_.begin(), peers_.end(),
                       [this](const endpoint& it)
                       { return answered_peers_.contains(it); });
}

// What others told before this peer was found gone may lack its last claims.
// Requires the lock.
void ledger_recovery::note_end(const endpoint& peer)
{
    records_.skip(peer);
    if (answered_peers_.contains(peer))
        return;
    last_peer_end_ = hooks_.now();
    records_.restart();
}

bool ledger_recovery::has_all_records(const std::vector<endpoint>& peers) const
{
    return !took_early_ && std::all_of(peers.begin(), peers.end(),
                                       [this](const endpoint& it)
                                       { return records_.has_all(it); });
}

// A peer that is gone may have runs whose agents have not noticed its loss yet.
// Only its next incarnation can report that they have ended.
std::optional<ledger_completion>
ledger_recovery::completion(const std::vector<endpoint>& peers, bool stray_runs,
                            instant now) const
{
    ledger_completion found;
    found.after = now - started_at_;
    if (needs_records(now) && !has_all_records(peers))
        return std::nullopt;
    found.peers = peers.size();
    found.with_old_runs = static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(),
                      [this](const endpoint& it)
                      { return !peers_without_old_runs_.contains(it); }));
    found.stray_runs = stray_runs;
    const bool listed = found.after >= options_.member_list_delay;
    if (listed && found.with_old_runs == 0 && !found.stray_runs)
        return found;
    found.by = ledger_proof::time;
    const bool ended = now - last_peer_end_ >= options_.run_end_delay;
    if (ended && std::all_of(peers.begin(), peers.end(),
                             [this](const endpoint& it)
                             { return answered_peers_.contains(it); }))
        return found;
    return std::nullopt;
}

std::string_view to_text(ledger_proof proof) noexcept
{
    return proof == ledger_proof::no_old_runs ? "no_old_runs" : "time";
}

} // namespace lagoonquay
