#include "fake_cluster.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::size_t compact_after = 20;  // entries
constexpr unsigned leaderless_limit = 100; // steps
constexpr unsigned percent_total = 100;
const cluster_number cluster(7);

// Applies a write to what the disk has synced.
template <typename Disk>
void apply_write(Disk& disk, const log_write& write)
{
    disk.state = write.state;
    if (write.install)
    {
        disk.base = write.install;
        disk.entries.clear();
    }
    for (const auto& it : write.entries)
    {
        std::erase_if(disk.entries, [&](const log_entry& old)
                      { return old.index >= it.index; });
        disk.entries.push_back(it);
    }
}

} // namespace

fake_cluster::fake_cluster(unsigned seed, bool bootstrapped) : random_(seed)
{
    membership_options first;
    for (std::size_t n = 0; n < size; ++n)
    {
        disks_[n].node = node_id("n" + std::to_string(n) + "-0");
        first.members.push_back(member_of(n));
        first.members.back().voter = true;
    }
    for (std::size_t n = 0; n < size; ++n)
    {
        start(n);
        if (!bootstrapped)
            continue;
        replicas_[n].decisions->bootstrap(cluster, membership(first));
        carry_out(n);
        sync(n); // a cluster is in use only once all have stored its start
    }
}

replica_member fake_cluster::member_of(std::size_t slot) const
{
    const auto name = "n" + std::to_string(slot);
    return {disks_[slot].node, replica_id(name), name, false};
}

void fake_cluster::start(std::size_t slot)
{
    const auto& disk = disks_[slot];
    auto& target = replicas_[slot];
    target = {};
    target.decisions = std::make_unique<replica>(
        replica_options{.self = disk.node,
                        .batch_entries = 4,
                        .window_entries = 16,
                        .chunk_bytes = 5},
        replica_hooks{[this](std::uint32_t bound)
                      {
                          return static_cast<std::uint32_t>(random_() % bound);
                      }},
        stored_log{disk.state, disk.base, disk.entries});
    carry_out(slot);
}

void fake_cluster::carry_out(std::size_t slot)
{
    auto& target = replicas_[slot];
    auto output = target.decisions->take_output();
    if (output.write)
        disks_[slot].unsynced.push_back(*output.write);
    for (auto& it : output.messages)
    {
        if (it.after == 0)
            post(slot, it.message);
        else
            target.waiting.push_back(std::move(it));
    }
    if (output.restore)
        restore(slot, *output.restore);
    for (const auto& it : output.committed)
        apply(slot, it);
    compact_if_long(slot);
}

void fake_cluster::hang_disk(std::size_t slot, bool hangs)
{
    if (hangs)
        hung_disks_.insert(slot);
    else
        hung_disks_.erase(slot);
}

void fake_cluster::sync(std::size_t slot)
{
    auto& disk = disks_[slot];
    if (disk.unsynced.empty() || hung_disks_.contains(slot) ||
        chance(faults.slow_sync))
        return;
    for (const auto& it : disk.unsynced)
        apply_write(disk, it);
    const auto sequence = disk.unsynced.back().sequence;
    disk.unsynced.clear();
    auto& target = replicas_[slot];
    auto ready = std::stable_partition(
        target.waiting.begin(), target.waiting.end(),
        [&](const outgoing_message& it) { return it.after > sequence; });
    for (auto it = ready; it != target.waiting.end(); ++it)
        post(slot, it->message);
    target.waiting.erase(ready, target.waiting.end());
    target.decisions->stored(sequence);
    carry_out(slot);
}

void fake_cluster::post(std::size_t slot, const replica_message& message)
{
    if (chance(faults.drop))
        return;
    const unsigned copies = chance(faults.duplicate) ? 2 : 1;
    for (unsigned n = 0; n < copies; ++n)
        flights_.push_back(
            {message, slot, now_ + 1 + random_() % faults.longest_delay});
}

void fake_cluster::deliver()
{
    const auto ready =
        std::stable_partition(flights_.begin(), flights_.end(),
                              [&](const flight& it) { return it.due > now_; });
    std::vector<flight> due(ready, flights_.end());
    flights_.erase(ready, flights_.end());
    std::shuffle(due.begin(), due.end(), random_);
    for (const auto& it : due)
    {
        for (std::size_t n = 0; n < size; ++n)
        {
            if (disks_[n].node != it.message.to || !running(n))
                continue;
            if (isolated_.contains(n) || isolated_.contains(it.from))
                continue;
            replicas_[n].decisions->receive(it.message);
            carry_out(n);
        }
    }
}

void fake_cluster::step()
{
    ++now_;
    deliver();
    for (std::size_t n = 0; n < size; ++n)
    {
        if (!running(n))
            continue;
        replicas_[n].decisions->tick();
        carry_out(n);
        sync(n);
        const auto known = status(n);
        auto& since = replicas_[n].since_leader;
        since = known.leader ? 0 : since + 1;
        if (known.state.cluster == cluster_number() ||
            find_node(known.members, disks_[n].node) == nullptr)
            ask_to_join(n);
    }
}

void fake_cluster::steps(unsigned count)
{
    for (unsigned n = 0; n < count; ++n)
        step();
}

void fake_cluster::ask_to_join(std::size_t slot)
{
    for (std::size_t n = 0; n < size; ++n)
    {
        if (n == slot || !running(n))
            continue;
        if (isolated_.contains(n) || isolated_.contains(slot))
            continue;
        replicas_[n].decisions->on_join(member_of(slot));
        carry_out(n);
    }
}

void fake_cluster::apply(std::size_t slot, const log_entry& entry)
{
    auto& target = replicas_[slot];
    if (entry.index.number() != target.applied_index.number() + 1)
        break_promise("an entry was applied out of order");
    target.applied_index = entry.index;
    const auto [it, added] = committed_.emplace(entry.index, entry);
    if (!added && it->second != entry)
        break_promise("two entries were committed at index " +
                      std::to_string(entry.index.number()));
    const auto before = target.applied.view()->version;
    if (const auto* asked = std::get_if<command>(&entry.content))
    {
        const auto outcome = target.applied.apply(*asked);
        const auto [first, fresh] = reported_.emplace((*asked)->id, outcome);
        if (!fresh && first->second != outcome)
            break_promise("a command got two outcomes");
    }
    if (target.applied.view()->version < before)
        break_promise("a version went back");
    snapshots_.emplace(entry.index, target.applied.snapshot());
}

void fake_cluster::restore(std::size_t slot, const log_snapshot& base)
{
    auto& target = replicas_[slot];
    if (base.data != "snapshot of " + std::to_string(base.index.number()))
        break_promise("a snapshot was damaged");
    if (base.index < target.applied_index)
        break_promise("a snapshot went back");
    target.applied = fleet_state(snapshots_.at(base.index));
    target.applied_index = base.index;
}

void fake_cluster::compact_if_long(std::size_t slot)
{
    auto& target = replicas_[slot];
    const auto first = target.decisions->log().first().number();
    const auto applied = target.applied_index.number();
    if (applied < first + compact_after)
        return;
    target.decisions->compact("snapshot of " + std::to_string(applied));
    carry_out(slot);
}

void fake_cluster::crash(std::size_t slot)
{
    replicas_[slot] = {};
    disks_[slot].unsynced.clear();
    frozen_.erase(slot);
}

void fake_cluster::restart(std::size_t slot)
{
    if (!replicas_[slot].decisions)
        start(slot);
}

void fake_cluster::freeze(std::size_t slot)
{
    frozen_.insert(slot);
}

void fake_cluster::wake(std::size_t slot)
{
    frozen_.erase(slot);
}

void fake_cluster::wipe(std::size_t slot)
{
    crash(slot);
    disks_[slot] = {};
    disks_[slot].node =
        node_id("n" + std::to_string(slot) + "-" + std::to_string(++wipes_));
    start(slot);
}

void fake_cluster::isolate(std::size_t slot)
{
    isolated_.insert(slot);
}

void fake_cluster::heal()
{
    isolated_.clear();
}

std::optional<std::size_t> fake_cluster::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < size; ++n)
    {
        if (!running(n) || !replicas_[n].decisions->leads())
            continue;
        if (!found || status(n).state.term > status(*found).state.term)
            found = n;
    }
    return found;
}

bool fake_cluster::propose(std::size_t slot, const command& asked)
{
    if (!running(slot))
        return false;
    const bool taken = replicas_[slot].decisions->propose(asked);
    carry_out(slot);
    return taken;
}

void fake_cluster::hand_over(std::size_t slot)
{
    replicas_[slot].decisions->hand_over();
    carry_out(slot);
}

bool fake_cluster::whole() const
{
    const auto slot = leader();
    if (!slot || isolated_.contains(*slot) || status(*slot).changing_members)
        return false;
    for (const auto& it : disks_)
    {
        if (!is_voter(status(*slot).members, it.node))
            return false;
    }
    return true;
}

bool fake_cluster::running(std::size_t slot) const
{
    return replicas_[slot].decisions && !frozen_.contains(slot);
}

const fleet_state& fake_cluster::state(std::size_t slot) const
{
    return replicas_[slot].applied;
}

log_status fake_cluster::status(std::size_t slot) const
{
    return replicas_[slot].decisions->status();
}

bool fake_cluster::votes(std::size_t slot) const
{
    if (!running(slot))
        return false;
    const auto known = status(slot);
    return known.voter && known.caught_up &&
           replicas_[slot].since_leader < leaderless_limit;
}

bool fake_cluster::shows_out(std::size_t slot, const domain_id& domain) const
{
    const auto& target = replicas_[slot];
    return target.applied.view()->out_domains.contains(domain) ||
           limits_of(target.decisions->uncommitted()).out.contains(domain);
}

const std::map<command_id, command_outcome>& fake_cluster::reported() const
{
    return reported_;
}

const std::string& fake_cluster::broken() const
{
    return broken_;
}

std::mt19937& fake_cluster::random()
{
    return random_;
}

bool fake_cluster::chance(unsigned percent)
{
    return random_() % percent_total < percent;
}

void fake_cluster::break_promise(const std::string& what)
{
    if (broken_.empty())
        broken_ = what;
}

} // namespace lagoonquay
