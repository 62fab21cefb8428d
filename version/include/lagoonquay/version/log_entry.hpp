//! Entries of the replicated log and the replicas that hold it.
#pragma once

#include "lagoonquay/version/command.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonquay
{

using term_number = number_id<struct term_tag>;
using log_index = number_id<struct log_index_tag>; //!< counted from one

//! Drawn once when a cluster is bootstrapped; zero before a replica joins.
using cluster_number = number_id<struct cluster_tag>;

//! One life of a replica's data folder; a wiped folder draws a new one.
using node_id = text_id<struct node_tag>;

struct replica_member
{
    node_id node;
    replica_id name;     //!< from the settings; survives a wiped folder
    std::string address; //!< "IP:port" of the listener for replicas
    bool voter = false;  //!< otherwise a learner

    friend bool operator==(const replica_member&,
                           const replica_member&) = default;
};

struct membership_options
{
    std::vector<replica_member> members;

    friend bool operator==(const membership_options&,
                           const membership_options&) = default;
};

//! Who holds the log and whose votes count.
using membership = immutable<membership_options>;

const replica_member* find_node(const membership& all,
                                const node_id& node) noexcept;
const replica_member* find_name(const membership& all,
                                const replica_id& name) noexcept;
bool is_voter(const membership& all, const node_id& node) noexcept;

//! @return the votes that make a majority.
std::size_t quorum(const membership& all) noexcept;

//! @return a copy in which `joining` is a learner in place of the member of
//! the same name. The voters change by at most one.
membership with_learner(const membership& all, replica_member joining);

//! @return a copy without `node`.
membership without_node(const membership& all, const node_id& node);

//! @return a copy in which `node` is a voter.
membership with_voter(const membership& all, const node_id& node);

//! Lets a new leader commit what earlier terms left.
struct no_operation
{
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

using entry_content = std::variant<no_operation, command, membership>;

struct log_entry
{
    log_index index;
    term_number term;
    entry_content content;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

//! @return about how many bytes the entry takes in a message.
std::size_t approximate_bytes(const log_entry& it) noexcept;

//! What must survive a restart besides the log.
struct hard_state
{
    cluster_number cluster;
    term_number term;
    std::optional<node_id> vote; //!< given in `term`

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

//! The applied state at one index; stands for the entries up to it.
struct log_snapshot
{
    log_index index;
    term_number term;
    membership members;
    std::string data; //!< encoded fleet state

    friend bool operator==(const log_snapshot&, const log_snapshot&) = default;
};

using snapshot_handle = std::shared_ptr<const log_snapshot>;

//! All that a replica has stored.
struct stored_log
{
    hard_state state;
    snapshot_handle base; //!< may be null
    std::vector<log_entry> entries;
};

//! Forbidding changes among entries that may not be committed.
struct pending_limits
{
    std::set<domain_id> out;
    std::set<agent_id> drains;

    friend bool operator==(const pending_limits&,
                           const pending_limits&) = default;
};

//! @return what the entries forbid. What they allow is left out.
pending_limits limits_of(const std::vector<log_entry>& entries);

} // namespace lagoonquay
