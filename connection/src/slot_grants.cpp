#include "lagoonquay/connection/slot_grants.hpp"

#include <algorithm>

namespace lagoonquay
{

slot_grants::slot_grants(std::uint32_t slots) noexcept : slots_(slots)
{
}

void slot_grants::resize(std::uint32_t slots) noexcept
{
    slots_ = slots;
}

void slot_grants::drain() noexcept
{
    draining_ = true;
}

bool slot_grants::drained() const noexcept
{
    std::uint64_t held = running_;
    for (const auto& [link, it] : accounts_)
        held += outstanding(it);
    return draining_ && held == 0;
}

void slot_grants::open(link_number link)
{
    accounts_.emplace(link, account());
}

void slot_grants::close(link_number link)
{
    accounts_.erase(link);
}

void slot_grants::demand(link_number link, std::uint32_t wanted,
                         std::uint64_t returned_total)
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end())
        return;
    auto& target = it->second;
    const auto most = target.granted - target.used;
    target.wanted = wanted;
    target.returned = std::clamp(returned_total, target.returned,
                                 std::max(target.returned, most));
}

bool slot_grants::start(link_number link, std::uint32_t wanted)
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end() || outstanding(it->second) == 0)
        return false;
    auto& target = it->second;
    ++target.used;
    target.wanted = wanted;
    ++running_;
    return true;
}

void slot_grants::finish() noexcept
{
    if (running_ > 0)
        --running_;
}

// The credit travels in the result that frees it, so that a busy link needs no
// grant of its own. It goes elsewhere only if another link misses more.
std::optional<std::uint64_t> slot_grants::finish_for(link_number link)
{
    finish();
    const auto it = accounts_.find(link);
    if (draining_ || it == accounts_.end() || free_slots() == 0)
        return std::nullopt;
    auto& target = it->second;
    const auto* starved = most_starved();
    if (starved != nullptr && starved != &target)
    {
        const bool holds_less = outstanding(*starved) < outstanding(target);
        if (holds_less || missing(*starved) > missing(target))
            return std::nullopt;
    }
    ++target.granted;
    return target.granted;
}

std::vector<link_grant> slot_grants::rebalance()
{
    if (draining_)
    {
        recall_all();
    }
    else
    {
        grant_free();
        recall_idle();
    }
    std::vector<link_grant> changed;
    for (auto& [link, it] : accounts_)
    {
        if (!it.changed)
            continue;
        it.changed = false;
        changed.push_back({link, it.granted, it.recalled});
    }
    return changed;
}

link_grant slot_grants::totals(link_number link) const
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end())
        return {link, 0, 0};
    return {link, it->second.granted, it->second.recalled};
}

std::uint32_t slot_grants::running() const noexcept
{
    return running_;
}

std::uint32_t slot_grants::slots() const noexcept
{
    return slots_;
}

std::uint64_t slot_grants::outstanding(const account& it) noexcept
{
    return it.granted - it.used - it.returned;
}

// An entry meets a recall at once from what is idle, and never later. Once all
// credits granted before the recall are used or given back, nothing more comes.
std::uint64_t slot_grants::asked_back(const account& it) noexcept
{
    const auto asked =
        it.recall_due > it.returned ? it.recall_due - it.returned : 0;
    const auto spent = it.used + it.returned;
    const auto open = it.recall_mark > spent ? it.recall_mark - spent : 0;
    return std::min(asked, open);
}

std::uint64_t slot_grants::missing(const account& it) noexcept
{
    const auto held = outstanding(it);
    return it.wanted > held ? it.wanted - held : 0;
}

std::uint64_t slot_grants::free_slots() const noexcept
{
    std::uint64_t taken = running_;
    for (const auto& [link, it] : accounts_)
        taken += outstanding(it);
    return taken >= slots_ ? 0 : slots_ - taken;
}

slot_grants::account* slot_grants::most_starved() noexcept
{
    account* most = nullptr;
    std::uint64_t most_missing = 0;
    for (auto& [link, it] : accounts_)
    {
        const auto lacks = missing(it);
        if (lacks <= most_missing)
            continue;
        most = &it;
        most_missing = lacks;
    }
    return most;
}

slot_grants::account* slot_grants::fewest_credits() noexcept
{
    account* fewest = nullptr;
    for (auto& [link, it] : accounts_)
    {
        if (fewest != nullptr && outstanding(it) >= outstanding(*fewest))
            continue;
        fewest = &it;
    }
    return fewest;
}

// Waiting tasks come first. What is left is spread evenly ahead of demand, so
// that a task that arrives later needs no round trip for its credit.
void slot_grants::grant_free()
{
    if (accounts_.empty())
        return;
    for (auto n = free_slots(); n > 0; --n)
    {
        auto* target = most_starved();
        if (target == nullptr)
            target = fewest_credits();
        ++target->granted;
        target->changed = true;
    }
}

// An entry gives back what is idle when it hears of a recall, and may free a
// credit later; so the recall is repeated for as long as credits are out.
void slot_grants::recall_all()
{
    for (auto& [link, it] : accounts_)
    {
        const auto held = outstanding(it);
        it.recalled += held;
        it.changed = it.changed || held > 0;
    }
}

// Recalls only credits that exceed the holder's own demand, and no more than
// the others miss. A link with an open recall is not asked again.
void slot_grants::recall_idle()
{
    std::uint64_t lacking = 0;
    std::uint64_t recalling = 0;
    for (const auto& [link, it] : accounts_)
    {
        lacking += missing(it);
        recalling += asked_back(it);
    }
    for (auto& [link, it] : accounts_)
    {
        if (recalling >= lacking)
            return;
        const auto held = outstanding(it);
        if (held <= it.wanted || asked_back(it) > 0)
            continue;
        const auto amount = std::min(held - it.wanted, lacking - recalling);
        it.recalled += amount;
        it.recall_due = it.returned + amount;
        it.recall_mark = it.granted;
        it.changed = true;
        recalling += amount;
    }
}

} // namespace lagoonquay
