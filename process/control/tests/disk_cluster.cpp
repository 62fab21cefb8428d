#include "disk_cluster.hpp"

#include <algorithm>
#include <atomic>
#include <thread>
#include <unistd.h>

namespace fs = std::filesystem;

namespace lagoonquay
{

namespace
{

constexpr duration recovery_period = std::chrono::milliseconds(500);
constexpr duration resend_period = std::chrono::milliseconds(200);
constexpr duration replace_after = std::chrono::seconds(8);
constexpr std::uint64_t snapshot_entries = 12;
constexpr auto pause = std::chrono::microseconds(50);

std::string address_of(std::size_t slot)
{
    return std::string(1, static_cast<char>('a' + slot));
}

} // namespace

struct disk_cluster::slot_parts
{
    process_result<void> store(const std::vector<log_write>& writes)
    {
        auto stored = log->write(writes);
        if (stored)
            return stored;
        ++failed_writes;
        failed_compactions += static_cast<unsigned>(std::any_of(
            writes.begin(), writes.end(),
            [](const log_write& it) { return it.install != nullptr; }));
        return stored;
    }

    process_result<stored_log> recover()
    {
        if (!may_recover.exchange(false))
            return fail(process_errc::storage, "not yet");
        auto found = log->recover();
        recovered = found.has_value();
        tried = true;
        return found;
    }

    full_disk disk;
    std::optional<durable_log> log;
    std::atomic<unsigned> failed_writes = 0;
    std::atomic<unsigned> failed_compactions = 0;
    std::atomic<bool> may_recover = false;
    std::atomic<bool> tried = false;
    std::atomic<bool> recovered = false;
    std::optional<instant> next_attempt;
    std::unique_ptr<control_replica> replica;
};

disk_cluster::disk_cluster(unsigned seed, std::size_t size)
    : random_(seed), folder_(fs::temp_directory_path() /
                             ("lagoonquay-disks-" + std::to_string(::getpid())))
{
    fs::remove_all(folder_);
    for (std::size_t n = 0; n < size; ++n)
    {
        auto& it = *slots_.emplace_back(std::make_unique<slot_parts>());
        it.log =
            durable_log::open((folder_ / address_of(n)).string(),
                              [n] { return node_id(address_of(n) + "-1"); },
                              it.disk.hooks())
                .value();
        it.replica = std::make_unique<control_replica>(
            options_of(n), hooks_of(n), it.log->node(), it.log->stored());
    }
}

disk_cluster::~disk_cluster()
{
    for (auto& it : slots_)
        it->replica.reset();
    fs::remove_all(folder_);
}

control_replica_options disk_cluster::options_of(std::size_t slot) const
{
    control_replica_options given{.name = replica_id(address_of(slot)),
                                  .address = address_of(slot),
                                  .peers = {},
                                  .may_bootstrap = slot < voters,
                                  .voters = voters,
                                  .replace_after = replace_after,
                                  .snapshot_entries = snapshot_entries,
                                  .recovery_period =
                                      std::chrono::milliseconds(1)};
    for (std::size_t n = 0; n < voters; ++n)
    {
        if (n != slot)
            given.peers.push_back(address_of(n));
    }
    return given;
}

control_replica_hooks disk_cluster::hooks_of(std::size_t slot)
{
    auto& own = *slots_[slot];
    control_replica_hooks given;
    given.now = [this]
    {
        return now();
    };
    given.draw = [this](std::uint32_t bound)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::uint32_t>(random_() % bound);
    };
    given.draw_cluster = []
    {
        return cluster_number(1);
    };
    given.store = [&own](const std::vector<log_write>& it)
    {
        return own.store(it);
    };
    given.recover = [&own]
    {
        return own.recover();
    };
    given.send = [this, slot](const std::string& to, const replica_message& it)
    {
        post(
            [this, slot, to, it] {
                slots_[slot_at(to)]->replica->receive({address_of(slot), {it}});
            });
    };
    given.greet =
        [this, slot](const std::string& to, const replica_greeting& it)
    {
        post(
            [this, slot, to, it]
            {
                slots_[slot]->replica->on_greeting(
                    slots_[slot_at(to)]->replica->on_greeting(it));
            });
    };
    given.forward = [this](const std::string& to, const command& asked,
                           const answer_hook& done)
    {
        post([this, to, asked, done]
             { slots_[slot_at(to)]->replica->propose(asked, false, done); });
    };
    return given;
}

void disk_cluster::pass(duration time)
{
    for (const auto end = now() + time; now() < end;)
        step();
}

void disk_cluster::step()
{
    {
        const std::lock_guard lock(mutex_);
        now_ += control_replica::tick_period;
    }
    try_recoveries();
    for (auto& it : slots_)
    {
        it->replica->tick();
        settle();
    }
    run_events();
    resend();
    run_events();
}

void disk_cluster::settle()
{
    for (auto& it : slots_)
    {
        while (it->replica->storing())
            std::this_thread::sleep_for(pause);
    }
}

// Messages that answers lead to are delivered in the same step.
void disk_cluster::run_events()
{
    constexpr int most_events = 5000;
    for (int n = 0; n < most_events; ++n)
    {
        event next;
        {
            const std::lock_guard lock(mutex_);
            if (events_.empty())
                return;
            next = std::move(events_.front());
            events_.pop_front();
        }
        next();
        settle();
    }
}

void disk_cluster::try_recoveries()
{
    for (auto& it : slots_)
    {
        if (it->replica->state().storage_error.empty())
        {
            it->next_attempt.reset();
            continue;
        }
        if (!it->next_attempt)
            it->next_attempt = now() + recovery_period;
        if (now() < *it->next_attempt)
            continue;
        it->next_attempt = now() + recovery_period;
        it->tried = false;
        it->may_recover = true;
        while (!it->tried)
            std::this_thread::sleep_for(pause);
        while (it->recovered && !it->replica->state().storage_error.empty())
            std::this_thread::sleep_for(pause);
    }
}

void disk_cluster::send_change()
{
    const auto number = std::to_string(changes_.size() + 1);
    changes_.push_back({command({.id = command_id(number),
                                 .author = "ann",
                                 .expected = std::nullopt,
                                 .what = set_settings{"n = " + number}}),
                        now(),
                        std::nullopt,
                        {}});
}

// Any replica is asked, each time another one.
void disk_cluster::resend()
{
    for (std::size_t n = 0; n < changes_.size(); ++n)
    {
        const auto& it = changes_[n];
        const bool due = (now() - it.first_sent) % resend_period == duration();
        if (it.acknowledged || !due)
            continue;
        std::size_t to = 0;
        {
            const std::lock_guard lock(mutex_);
            to = random_() % slots_.size();
        }
        slots_[to]->replica->propose(
            it.asked, true,
            [this, n](const version_result<command_answer>& answer)
            {
                const std::lock_guard lock(mutex_);
                if (!answer || changes_[n].acknowledged)
                    return;
                changes_[n].acknowledged = now_;
                changes_[n].outcome = answer.value().outcome;
            });
        settle();
    }
}

std::size_t disk_cluster::holders(const change& it)
{
    const auto members = state(leader().value()).decisions.members;
    std::size_t found = 0;
    for (auto& slot : slots_)
    {
        if (!is_voter(members, slot->replica->state().node))
            continue;
        slot->replica->propose(
            it.asked, false,
            [&](const version_result<command_answer>& answer)
            { found += answer && answer.value().outcome == it.outcome; });
    }
    return found;
}

void disk_cluster::post(event it)
{
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(it));
}

std::size_t disk_cluster::slot_at(const std::string& address) const
{
    return static_cast<std::size_t>(address.front() - 'a');
}

full_disk& disk_cluster::disk(std::size_t slot)
{
    return slots_[slot]->disk;
}

std::optional<std::size_t> disk_cluster::leader() const
{
    for (std::size_t n = 0; n < slots_.size(); ++n)
    {
        if (slots_[n]->replica->leads())
            return n;
    }
    return std::nullopt;
}

control_replica_state disk_cluster::state(std::size_t slot) const
{
    return slots_[slot]->replica->state();
}

unsigned disk_cluster::failed_writes(std::size_t slot) const
{
    return slots_[slot]->failed_writes;
}

unsigned disk_cluster::failed_compactions() const
{
    unsigned sum = 0;
    for (const auto& it : slots_)
        sum += it->failed_compactions;
    return sum;
}

instant disk_cluster::now() const
{
    const std::lock_guard lock(mutex_);
    return now_;
}

const std::vector<disk_cluster::change>& disk_cluster::changes() const
{
    return changes_;
}

std::mt19937& disk_cluster::random()
{
    return random_;
}

} // namespace lagoonquay
