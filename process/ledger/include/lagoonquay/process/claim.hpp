//! Claims that a quorum of ledger replicas decides on.
#pragma once

#include "lagoonquay/process/ledger_shard.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Time after the end of a holder's process by which none of its runs of
//! repeatable tasks goes on.
constexpr duration lost_holder_delay = std::chrono::seconds(2);

//! First round of claims whose earlier records may be lost. Rounds that are
//! counted from one stay below it.
constexpr claim_round first_round_after_loss(1024);

enum class claim_status
{
    held,          //!< this entry holds the claim until valid_until
    held_by_other, //!< a quorum names another holder, see holder_address
    contested,     //!< no quorum; a replica names another holder
    closed,        //!< the submission ended with a failure
    mismatch,      //!< the submission has other content
    fenced,        //!< no quorum; a replica may lack an earlier record of it
    //! The holder of an earlier claim may have ended with a majority of the
    //! replicas, and its runs may go on until `retry_at`.
    holder_lost,
    unavailable, //!< too few replicas answered for a quorum
};

//! @return the stable lower-case name used in logs.
std::string_view to_text(claim_status value) noexcept;

struct claim_outcome_options
{
    claim_status status = claim_status::unavailable;
    instant valid_until{};
    std::string holder_address;
    claim_round round;
    //! Whether a quorum has recorded exactly this round. Only then can no
    //! other holder have the same round; otherwise the claim must be renewed
    //! with this round before it is used.
    bool confirmed = false;
    //! Time since the first claim of the submission; zero if this is the first
    //! claim or a renewal.
    duration first_claim_age{};
    agent_reach reach; //!< agents that earlier holders may have used
    //! Set if records of earlier claims may be lost with a majority of the
    //! replicas: when the last of these was found gone. The claim is confirmed
    //! in no round below first_round_after_loss.
    std::optional<instant> records_lost_at;
    instant retry_at{}; //!< when to ask again, if the holder is lost

    friend bool operator==(const claim_outcome_options&,
                           const claim_outcome_options&) = default;
};

//! The decision of a quorum about a claim.
using claim_outcome = immutable<claim_outcome_options>;

//! Called once with the outcome, from any thread.
using claim_callback = std::function<void(claim_outcome)>;

//! Claims a submission and calls back with the outcome. Thread-safe.
using claim_hook = std::function<void(const claim_request&, claim_callback)>;

//! Counts votes until a quorum decides. Not thread-safe.
class claim_tally
{
public:
    //! @param replicas  number of replicas in the group, reachable or not.
    //! @param lease     how long a granted claim is valid, from `sent`.
    //! @param sent      when the first request was sent.
    //! @param holders_are_replicas  whether every entry that may hold a claim
    //!                              is itself one of the replicas.
    //! @param in_force  whether the sender holds the claim, so that no other
    //!                  entry does.
    claim_tally(std::size_t replicas, duration lease, instant sent,
                bool holders_are_replicas = true,
                bool in_force = false) noexcept;

    //! Counts one replica's vote.
    //! @param vote  nothing if the replica did not answer.
    //! @return the outcome if this vote decides it; nothing before that and
    //! after it.
    std::optional<claim_outcome> add(const std::optional<claim_vote>& vote);

    //! Counts a replica whose process has ended, so that its records are lost.
    //! @param since  when it was found gone.
    //! @return as add().
    std::optional<claim_outcome> add_ended_replica(instant since);

private:
    std::optional<claim_outcome> decide_once();
    std::optional<claim_outcome> decide();
    claim_outcome granted_outcome() const;
    claim_outcome refused_outcome() const;
    std::optional<std::string> quorum_holder() const;
    std::size_t quorum() const noexcept;
    bool may_lack_records() const noexcept;

    std::size_t replicas_;
    duration lease_;
    instant sent_;
    bool holders_are_replicas_;
    bool in_force_;
    std::size_t answered_ = 0;
    std::size_t ended_ = 0;
    instant last_end_{}; //!< when the last of these was found gone
    std::vector<claim_vote> votes_;
    bool decided_ = false;
};

} // namespace lagoonquay
