//! State of a control replica under its lock, and what a step leaves to do.
#pragma once

#include "lagoonquay/process/control_replica.hpp"

#include <deque>
#include <set>

namespace lagoonquay
{

//! Calls to make once the lock is released.
using deferred_calls = std::vector<std::function<void()>>;

//! Carries out the outputs of the decisions. Not thread-safe: the owner locks.
class control_replica_core
{
public:
    control_replica_core(control_replica_options options,
                         std::shared_ptr<const control_replica_hooks> hooks,
                         node_id node, const stored_log& stored);

    //! Each of these adds to `calls` what must run without the lock.
    void tick(deferred_calls& calls);
    void receive(const replica_batch& batch, deferred_calls& calls);
    void add_peer(const std::string& address);
    void on_greeting(const replica_greeting& other, deferred_calls& calls);
    void propose(const command& asked, bool may_forward,
                 const answer_hook& done, deferred_calls& calls);
    void hand_over(deferred_calls& calls);
    void stored(std::uint64_t sequence, deferred_calls& calls);
    void storage_failed(const std::string& detail, deferred_calls& calls);

    //! @return the writes to store now, oldest first; they are taken.
    std::vector<log_write> take_writes();
    bool has_writes() const noexcept;

    replica_greeting greeting() const;
    const fleet_view& view() const noexcept;
    bool leads() const noexcept;
    std::optional<permit_vote> vote(version_number known) const;
    replica_set replicas() const;
    control_replica_state state() const;

private:
    struct waiting_command
    {
        answer_hook done;
        instant deadline{};
    };
    struct applied_command
    {
        command_id id;
        instant in_force{};
    };

    void carry_out(deferred_calls& calls);
    void send(const replica_message& message, deferred_calls& calls) const;
    void apply(const log_entry& entry, deferred_calls& calls);
    void restore(const log_snapshot& base, deferred_calls& calls);
    void compact_if_long();
    void greet_peers(deferred_calls& calls);
    bool looks_for_cluster() const;
    bool is_peer(const std::string& address) const;
    std::vector<std::string> member_addresses() const;
    void bootstrap_if_all_agree();
    void note_leader();
    void note_contact(const replica_message& message);
    void expire(deferred_calls& calls);
    void fail_all(version_errc code, const std::string& detail,
                  deferred_calls& calls);
    command_answer answer_of(const command_id& id,
                             const command_outcome& outcome) const;
    std::string address_of(const node_id& node) const;
    bool may_vote() const;
    bool whole() const;

    const control_replica_options options_;
    const std::shared_ptr<const control_replica_hooks> hooks_;
    const node_id node_;
    const instant started_;
    replica decisions_;
    fleet_state applied_;
    std::vector<log_write> writes_;
    std::vector<outgoing_message> unsent_; //!< wait for a sync
    std::multimap<command_id, waiting_command> waiting_;
    std::deque<applied_command> settling_; //!< applied, not yet in force
    std::map<node_id, std::string> addresses_;
    std::map<replica_id, replica_greeting> greetings_;
    std::set<std::string> greeted_; //!< where to ask for the cluster
    std::optional<instant> leader_heard_;
    std::optional<node_id> leader_; //!< last written to the log
    std::uint64_t leader_changes_ = 0;
    std::uint32_t ticks_ = 0;
    std::string storage_error_;
};

} // namespace lagoonquay
