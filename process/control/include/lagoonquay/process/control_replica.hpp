//! Runs the decisions of one control replica: locks, storage thread, waiting
//! commands. Has no input or output of its own.
#pragma once

#include "lagoonquay/process/error.hpp"
#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/member.hpp"
#include "lagoonquay/version/permit.hpp"
#include "lagoonquay/version/replica.hpp"
#include "lagoonquay/version/replica_codec.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Gets the answer to a command once it is committed, or the error. Called
//! once, from any thread.
using answer_hook = std::function<void(version_result<command_answer>)>;

struct control_replica_options
{
    replica_id name;
    std::string address; //!< of the listener for replicas
    //! Addresses of the other replicas that start a cluster.
    std::vector<std::string> peers;
    bool may_bootstrap = false; //!< operators start a new cluster
    //! Voters that the cluster grows to; zero keeps those that started it.
    std::size_t voters = 0;
    //! Silence after which a member gives its place to another address.
    duration replace_after = std::chrono::seconds(20);
    std::uint64_t snapshot_entries = 2000;
    duration command_timeout = std::chrono::seconds(5);
    //! A replica that heard from no leader for longer gives no permit votes.
    duration leaderless_votes = std::chrono::seconds(10);
    //! Between attempts to go on after a write has failed.
    duration recovery_period = std::chrono::milliseconds(500);

    friend bool operator==(const control_replica_options&,
                           const control_replica_options&) = default;
};

//! What a replica needs from outside. Only the first three, which read a
//! clock or draw a number, are called under a lock.
struct control_replica_hooks
{
    clock_hook now;
    std::function<std::uint32_t(std::uint32_t bound)> draw;
    std::function<cluster_number()> draw_cluster;
    //! Writes and syncs. Called on the storage thread only.
    std::function<process_result<void>(const std::vector<log_write>&)> store;
    //! Reads what is stored after a write has failed, once the disk takes
    //! writes again. Called on the storage thread only.
    std::function<process_result<stored_log>()> recover;
    //! Sends a message; may lose it.
    std::function<void(const std::string& address, const replica_message&)>
        send;
    //! Greets another replica; its answer goes to on_greeting().
    std::function<void(const std::string& address, const replica_greeting&)>
        greet;
    //! Passes a command on to the leader.
    std::function<void(const std::string& address, const command&,
                       const answer_hook&)>
        forward;
};

//! What operators see of a replica.
struct control_replica_state
{
    replica_id name;
    log_status decisions;
    node_id node;
    fleet_view view;
    pending_limits pending;
    duration in_force_after{}; //!< until all applied changes are in force
    bool votes = false;        //!< answers permit requests
    bool whole = false;        //!< every replica is a voter and has the log
    std::uint64_t leader_changes = 0; //!< since the process started
    std::string storage_error;        //!< empty while the storage works
};

//! One replica. Thread-safe.
class control_replica
{
public:
    //! Period of tick().
    static constexpr duration tick_period = std::chrono::milliseconds(100);

    control_replica(control_replica_options options,
                    control_replica_hooks hooks, const node_id& node,
                    const stored_log& stored);
    //! Ends the storage thread.
    ~control_replica();
    control_replica(const control_replica&) = delete;
    control_replica& operator=(const control_replica&) = delete;

    //! Call each tick_period.
    void tick();

    //! Takes messages from another replica.
    void receive(const replica_batch& batch);

    //! Names another replica to ask for the cluster.
    void add_peer(const std::string& address);

    //! Another replica greets or answers. @return this replica's greeting.
    replica_greeting on_greeting(const replica_greeting& other);

    //! Replicates a command; where another replica leads, passes it on.
    //! @param may_forward  false for a command that was passed on already.
    //! `done` gets the answer, not_leader if no leader is known, or storage.
    //! After a not_leader or storage error the command may still commit:
    //! resend it with the same id.
    void propose(const command& asked, bool may_forward,
                 const answer_hook& done);

    //! Gives leadership away before a graceful stop.
    void hand_over();

    fleet_view view() const;
    bool leads() const;

    //! @param known  the newest version that the asker has applied.
    //! @return this replica's word, or nothing if it must not vote: it is a
    //!         learner, has not caught up, or is cut off.
    std::optional<permit_vote> vote(version_number known) const;

    //! @return who holds the log, as far as this replica knows.
    replica_set replicas() const;

    control_replica_state state() const;

    //! @return whether a write waits to be stored or is being stored, or a
    //! message that depends on it is about to be sent.
    bool storing() const;

private:
    struct shared;
    std::unique_ptr<shared> shared_;
};

} // namespace lagoonquay
