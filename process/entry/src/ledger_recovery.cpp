#include "lagoonquay/process/ledger_recovery.hpp"

#include <algorithm>

namespace lagoonquay
{

ledger_recovery::ledger_recovery(ledger_recovery_options options,
                                 ledger_recovery_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), began_(hooks_.now()),
      ended_(began_)
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
            if (!settled_.contains(it) && asked_.insert(it).second)
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
            hooks_.remember(it);
    }
    const std::lock_guard lock(mutex_);
    asked_.erase(peer);
    if (!answer)
        return;
    if (answer->gone && !answered_.contains(peer))
        ended_ = hooks_.now();
    answered_.insert(peer);
    if (answer->settled)
        settled_.insert(peer);
}

bool ledger_recovery::complete(const std::vector<endpoint>& peers) const
{
    if (settled(peers))
        return true;
    return hooks_.now() - ended_ >= options_.settle &&
           std::all_of(peers.begin(), peers.end(),
                       [this](const endpoint& it)
                       { return answered_.contains(it); });
}

// A peer that is gone may have runs whose agents have not noticed its loss yet.
// Only its next incarnation can report that they have ended.
bool ledger_recovery::settled(const std::vector<endpoint>& peers) const
{
    return hooks_.now() - began_ >= options_.naming &&
           std::all_of(peers.begin(), peers.end(),
                       [this](const endpoint& it)
                       { return settled_.contains(it); }) &&
           hooks_.none_stray();
}

} // namespace lagoonquay
