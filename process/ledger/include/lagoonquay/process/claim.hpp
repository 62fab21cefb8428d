//! A claim over a quorum of ledger replicas.
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

enum class claim_status
{
    held,          //!< by this entry, until valid_until
    held_by_other, //!< by a quorum's word; see holder_address
    contested,     //!< nobody has a quorum
    closed,        //!< the submission ended with a failure
    mismatch,      //!< the submission has other content
    fenced,        //!< older than the quorum's memory
    unavailable,   //!< no quorum answered
};

//! @return the stable lower-case name used in logs.
std::string_view to_text(claim_status value) noexcept;

struct claim_outcome_options
{
    claim_status status = claim_status::unavailable;
    instant valid_until{};
    std::string holder_address;
    claim_round round;
    //! Whether a quorum has recorded this very round. Only then is the round
    //! no other holder's; otherwise renew with it before using it.
    bool confirmed = false;
    duration first_claim_age{}; //!< more than zero for an adoption
    agent_reach reach;          //!< of earlier holders

    friend bool operator==(const claim_outcome_options&,
                           const claim_outcome_options&) = default;
};

//! What a quorum said about a claim.
using claim_outcome = immutable<claim_outcome_options>;

//! Gets the outcome once, from any thread.
using claim_callback = std::function<void(claim_outcome)>;

//! Claims a submission. Thread-safe.
using claim_hook = std::function<void(const claim_request&, claim_callback)>;

//! Counts votes until a quorum decides. Not thread-safe.
class claim_tally
{
public:
    //! @param replicas  of the shard, answering or not.
    //! @param sent      when the first request was sent.
    //! @param whole     whether each holder of a claim is one of the replicas.
    claim_tally(std::size_t replicas, duration lease, instant sent,
                bool whole = true) noexcept;

    //! Adds a vote; nothing stands for a replica that did not answer.
    //! @return the outcome with the vote that decides it, once.
    std::optional<claim_outcome> add(const std::optional<claim_vote>& vote);

    //! Notes that a replica's process has ended, and its memory with it.
    //! @return as add().
    std::optional<claim_outcome> add_gone();

private:
    std::optional<claim_outcome> decide_once();
    std::optional<claim_outcome> decide();
    claim_outcome granted() const;
    claim_outcome refused() const;
    std::optional<std::string> quorum_holder() const;
    std::size_t quorum() const noexcept;

    std::size_t replicas_;
    duration lease_;
    instant sent_;
    bool whole_;
    std::size_t answered_ = 0;
    std::size_t gone_ = 0;
    std::vector<claim_vote> votes_;
    bool decided_ = false;
};

} // namespace lagoonquay
