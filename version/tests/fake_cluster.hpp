//! Replicas over a fake network and fake disks, in virtual time.
#pragma once

#include "lagoonquay/version/replica.hpp"

#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lagoonquay
{

//! What the fake network and disks do, in percent per step or message.
struct fault_rates
{
    unsigned drop = 0;
    unsigned duplicate = 0;
    unsigned longest_delay = 2; //!< steps
    unsigned slow_sync = 0;     //!< a disk does not sync in this step
};

//! Three replicas. A step is one tick of each running replica.
class fake_cluster
{
public:
    static constexpr std::size_t size = 3;

    explicit fake_cluster(unsigned seed, bool bootstrapped = true);

    void step();
    void steps(unsigned count);

    void crash(std::size_t slot);   //!< loses what is not synced
    void restart(std::size_t slot); //!< from what is synced
    void freeze(std::size_t slot);  //!< neither runs nor forgets
    void wake(std::size_t slot);
    void wipe(std::size_t slot); //!< crashes, and loses the disk
    void hang_disk(std::size_t slot, bool hangs); //!< syncs nothing meanwhile
    void isolate(std::size_t slot);
    void heal();

    //! @return the slot that leads in the highest term, if one leads.
    std::optional<std::size_t> leader() const;

    bool propose(std::size_t slot, const command& asked);
    void hand_over(std::size_t slot);

    //! @return whether every slot's present disk is a voter and the change is
    //! committed: what operators are told as "repair done".
    bool whole() const;

    bool running(std::size_t slot) const;
    const fleet_state& state(std::size_t slot) const;
    log_status status(std::size_t slot) const;

    //! @return whether the slot may answer permit requests.
    bool votes(std::size_t slot) const;
    bool shows_out(std::size_t slot, const domain_id& domain) const;

    //! @return every outcome that some replica has reported.
    const std::map<command_id, command_outcome>& reported() const;

    //! @return the first broken promise, or an empty string.
    const std::string& broken() const;

    std::mt19937& random();
    fault_rates faults;

private:
    struct fake_disk
    {
        node_id node;
        hard_state state;
        snapshot_handle base;
        std::vector<log_entry> entries;
        std::vector<log_write> unsynced;
        std::size_t written_entries = 0;
    };
    struct running_replica
    {
        std::unique_ptr<replica> decisions;
        fleet_state applied;
        log_index applied_index;
        std::vector<outgoing_message> waiting;
        unsigned since_leader = 0;
    };
    struct flight
    {
        replica_message message;
        std::size_t from = 0;
        std::uint64_t due = 0;
    };

    void start(std::size_t slot);
    void carry_out(std::size_t slot);
    void sync(std::size_t slot);
    void post(std::size_t slot, const replica_message& message);
    void deliver();
    void apply(std::size_t slot, const log_entry& entry);
    void restore(std::size_t slot, const log_snapshot& base);
    void compact_if_long(std::size_t slot);
    void ask_to_join(std::size_t slot);
    bool chance(unsigned percent);
    void break_promise(const std::string& what);
    replica_member member_of(std::size_t slot) const;

    std::mt19937 random_;
    std::array<fake_disk, size> disks_;
    std::array<running_replica, size> replicas_;
    std::set<std::size_t> frozen_;
    std::set<std::size_t> hung_disks_;
    std::set<std::size_t> isolated_;
    std::vector<flight> flights_;
    std::uint64_t now_ = 0;
    unsigned wipes_ = 0;
    std::map<log_index, log_entry> committed_;
    std::map<log_index, fleet_snapshot> snapshots_;
    std::map<command_id, command_outcome> reported_;
    std::string broken_;
};

} // namespace lagoonquay
