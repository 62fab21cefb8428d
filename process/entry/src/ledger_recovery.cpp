#include "lagoonquay/process/ledger_recovery.hpp"

#include <algorithm>

namespace lagoonquay
{

ledger_recovery::ledger_recovery(ledger_recovery_options options,
                                 ledger_recovery_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), began_(hooks_.now())
{
}

// A claim that a live entry holds is known to that entry, whoever else has
// forgotten it; the runs of a dead one end by themselves.
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
            if (!answered_.contains(it) && asked_.insert(it).second)
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
    if (answer)
        answered_.insert(peer);
}

bool ledger_recovery::complete(const std::vector<endpoint>& peers) const
{
    return hooks_.now() - began_ >= options_.settle &&
           std::all_of(peers.begin(), peers.end(),
                       [this](const endpoint& it)
                       { return answered_.contains(it); });
}

} // namespace lagoonquay
