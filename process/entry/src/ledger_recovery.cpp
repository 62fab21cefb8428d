#include "lagoonquay/process/ledger_recovery.hpp"

#include <algorithm>

namespace lagoonquay
{

ledger_recovery::ledger_recovery(ledger_recovery_options options,
                                 ledger_recovery_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), started_at_(hooks_.now()),
      last_peer_end_(started_at_)
{
}

// A live entry reports the claims that it holds, even if every other replica
// has lost them. The runs of a dead entry end by themselves.
void ledger_recovery::tick()
{
    const auto peers = hooks_.peers();
    if (!peers)
        return;
    std::vector<endpoint> to_ask;
    bool finished = false;
    {
        const std::lock_guard lock(mutex_);
        if (done_)
            return;
        for (const auto& it : *peers)
        {
            if (!peers_without_old_runs_.contains(it) &&
                queried_peers_.insert(it).second)
                to_ask.push_back(it);
        }
        finished = complete(*peers);
        done_ = finished;
    }
    if (finished)
        return hooks_.done();
    for (const auto& it : to_ask)
        hooks_.ask(it, [this, it](const std::optional<held_claims>& answer)
                   { on_answer(it, answer); });
}

void ledger_recovery::on_answer(const endpoint& peer,
                                const std::optional<held_claims>& answer)
{
    if (answer)
    {
        for (const auto& it : answer->claims)
            hooks_.restore_claim(it);
    }
    const std::lock_guard lock(mutex_);
    queried_peers_.erase(peer);
    if (!answer)
        return;
    if (answer->gone && !answered_peers_.contains(peer))
        last_peer_end_ = hooks_.now();
    answered_peers_.insert(peer);
    if (answer->settled)
        peers_without_old_runs_.insert(peer);
}

bool ledger_recovery::complete(const std::vector<endpoint>& peers) const
{
    if (old_runs_ended(peers))
        return true;
    return hooks_.now() - last_peer_end_ >= options_.run_end_delay &&
           std::all_of(peers.begin(), peers.end(),
                       [this](const endpoint& it)
                       { return answered_peers_.contains(it); });
}

// A peer that is gone may have runs whose agents have not noticed its loss yet.
// Only its next incarnation can report that they have ended.
bool ledger_recovery::old_runs_ended(const std::vector<endpoint>& peers) const
{
    return hooks_.now() - started_at_ >= options_.member_list_delay &&
           std::all_of(peers.begin(), peers.end(),
                       [this](const endpoint& it)
                       { return peers_without_old_runs_.contains(it); }) &&
           hooks_.no_stray_runs();
}

} // namespace lagoonquay
