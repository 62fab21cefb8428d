//! Decisions of one control replica: Raft with pre-vote, check-quorum,
//! learners, one-at-a-time replacement and hand-over. No I/O, no clock.
#pragma once

#include "lagoonquay/version/memory_log.hpp"
#include "lagoonquay/version/replica_message.hpp"

#include <functional>
#include <map>
#include <set>

namespace lagoonquay
{

//! Periods are in ticks, sizes in entries or bytes.
struct replica_options
{
    node_id self;
    std::uint32_t election_ticks = 10; //!< shortest; the longest is twice that
    //! Shortest silence before the first election of a process: a leader that
    //! lives is heard by then. The longest is election_ticks more.
    std::uint32_t first_election_ticks = 3;
    //! Silence after which a member may be replaced from another address.
    std::uint32_t replace_ticks = 200;
    //! Time in which a leader hears from every member that it can reach. It
    //! replaces none before.
    std::uint32_t first_contact_ticks = 5;
    //! How long a replica that asks to be let in may wait for its turn.
    std::uint32_t join_ticks = 5;
    //! Voters that the log grows to as replicas ask to be let in; zero keeps
    //! the first ones.
    std::size_t voters = 0;
    std::size_t batch_entries = 64;
    std::size_t batch_bytes = 256UL * 1024; //!< of an append with several
    std::uint64_t window_entries = 1024;    //!< sent and not acknowledged
    std::size_t chunk_bytes = 64UL * 1024;
};

struct replica_hooks
{
    //! Draws a number below `bound`.
    std::function<std::uint32_t(std::uint32_t bound)> draw;
};

//! A write that the storage must sync before it reports its sequence number.
struct log_write
{
    std::uint64_t sequence = 0;
    hard_state state;
    snapshot_handle install; //!< if set, replaces the log before `entries`
    std::vector<log_entry> entries; //!< replace all from the first one's index

    friend bool operator==(const log_write&, const log_write&) = default;
};

//! A message to send once the write `after` is synced.
struct outgoing_message
{
    replica_message message;
    std::uint64_t after = 0; //!< zero: at once
};

//! What the host must do, in this order.
struct replica_output
{
    std::optional<log_write> write;
    std::vector<outgoing_message> messages;
    snapshot_handle restore; //!< if set, the state to start from
    std::vector<log_entry> committed;
};

enum class replica_role
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

//! A member as the leader knows it.
struct follower_status
{
    log_index stored;
    std::uint32_t silent_ticks = 0;

    friend bool operator==(const follower_status&,
                           const follower_status&) = default;
};

//! What others may know of a replica.
struct log_status
{
    replica_role role = replica_role::follower;
    hard_state state;
    std::optional<node_id> leader;
    log_index commit;
    log_index last;
    membership members;
    bool voter = false;
    //! Has applied all that was committed when it first heard from a leader.
    bool caught_up = false;
    bool changing_members = false;
    std::map<node_id, follower_status> followers; //!< of the leader only
};

//! One replica. Not thread-safe; the host calls one method at a time and
//! carries out take_output() after each.
class replica
{
public:
    replica(replica_options options, replica_hooks hooks,
            const stored_log& stored);

    //! Starts a new cluster. For a replica whose log is empty.
    void bootstrap(cluster_number cluster, const membership& members);

    void tick();
    void receive(const replica_message& message);

    //! The writes up to `sequence` are synced.
    void stored(std::uint64_t sequence);

    //! @return whether this replica leads and has appended the command.
    bool propose(const command& asked);

    //! A replica with an unknown data folder asks to be let in.
    void on_join(const replica_member& joining);

    //! Gives leadership to the voter that has stored the most.
    void hand_over();

    //! Replaces the applied entries by the state encoded in `data`.
    void compact(std::string data);

    replica_output take_output();

    bool leads() const noexcept;
    const std::optional<node_id>& leader() const noexcept;
    term_number term() const noexcept;
    bool caught_up() const noexcept;
    bool empty() const noexcept; //!< knows of no cluster
    log_status status() const;
    const memory_log& log() const noexcept;

    //! @return entries that this replica does not know to be committed.
    std::vector<log_entry> uncommitted() const;

private:
    struct progress
    {
        log_index match;
        log_index next;
        std::uint32_t silent_ticks = 0;
        snapshot_handle sending;
        std::uint64_t offset = 0;
    };
    struct joiner
    {
        replica_member member;
        std::uint32_t ticks = 0; //!< since it asked
    };
    struct pending_write
    {
        std::uint64_t sequence = 0;
        log_index last;
    };
    struct incoming_snapshot
    {
        log_index index;
        term_number term;
        std::string data;
    };

    // Election
    void become_follower(term_number term, std::optional<node_id> leader);
    void become_leader();
    void campaign(bool trial, bool by_hand_over);
    void tick_follower();
    void count_vote(const node_id& from, bool trial);
    void on(const node_id& from, const vote_request& asked);
    void on(const node_id& from, const vote_reply& reply);
    void on(const node_id& from, const hand_over_request& asked);
    bool knows_live_leader() const noexcept;
    bool goes_first(const node_id& other,
                    const vote_request& asked) const noexcept;
    bool holds_all_of(const vote_request& asked) const noexcept;

    // Replication
    void tick_leader();
    void append(entry_content content);
    void send_entries(const node_id& to, progress& target, bool heartbeat);
    void send_to_all(bool heartbeat);
    void advance_commit();
    void commit_to(log_index index);
    void store_entries(const append_request& asked);
    void on(const node_id& from, const append_request& asked);
    void on(const node_id& from, const append_reply& reply);
    void follow_members();
    std::vector<member_silence> member_silences() const;

    // Membership
    void promote_learners();
    std::uint32_t known_silence(const node_id& node) const;
    bool may_admit() const noexcept;
    void admit(const replica_member& joining);
    void admit_waiting();
    std::optional<membership> members_with(const replica_member& joining) const;
    const replica_member* silent_member(std::uint32_t ticks) const;
    bool may_change_members() const noexcept;

    // Snapshots
    void send_chunk(const node_id& to, progress& target);
    void on(const node_id& from, const snapshot_chunk& chunk);
    void on(const node_id& from, const snapshot_reply& reply);
    void install(const snapshot_chunk& chunk);

    bool admits(const replica_message& message);
    void send(const node_id& to, replica_message_body body, bool after_write);
    log_write& open_write();
    void put(log_entry entry);
    void set_term(term_number term, std::optional<node_id> vote);
    void reset_timeout();

    const replica_options options_;
    const replica_hooks hooks_;
    hard_state state_;
    memory_log log_;
    replica_role role_ = replica_role::follower;
    std::optional<node_id> leader_;
    log_index commit_;
    log_index own_match_;
    bool caught_up_ = false;
    std::uint32_t quiet_ticks_ =
        0; //!< since a leader was heard, or an election
    std::optional<node_id> heard_leader_; //!< the last one, also if it is lost
    std::uint32_t leaderless_ticks_ = 0;  //!< since that one was heard
    std::vector<member_silence> told_silences_; //!< by that one
    std::uint32_t leading_ticks_ = 0;
    std::uint32_t timeout_ticks_ = 0;
    std::set<node_id> granted_;
    bool handing_over_ = false;
    std::uint32_t hand_over_ticks_ = 0;
    std::map<node_id, progress> followers_;
    std::map<node_id, joiner> joiners_; //!< that wait for their turn
    std::optional<incoming_snapshot> incoming_;
    std::uint64_t sequence_ = 0;
    std::deque<pending_write> writing_;
    replica_output output_;
};

} // namespace lagoonquay
