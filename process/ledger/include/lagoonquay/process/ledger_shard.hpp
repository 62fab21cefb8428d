//! Claims of submissions at one ledger replica. Pure.
#pragma once

#include "lagoonquay/process/agent_reach.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/time.hpp"

#include <compare>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace lagoonquay
{

//! Counts the claims of a submission; a later holder has a larger one.
using claim_round = number_id<struct claim_round_tag>;

//! Position of a new claim among all of one entry incarnation.
using claim_ask = number_id<struct claim_ask_tag>;

//! Names a reach among those of one entry incarnation; zero names none.
using reach_number = number_id<struct reach_number_tag>;

struct claim_request_options
{
    submission_id submission;
    content_digest digest;
    wall_time created{};
    bool dated = true; //!< whether `created` is the caller's
    entry_id holder;
    incarnation holder_run;
    std::string holder_address; //!< where others forward resubmissions
    claim_round round;          //!< of the claim to renew; zero asks anew
    //! Counts the holder's new claims, so that late messages do no harm.
    claim_ask ask;
    //! Ends the submission with a failure; nobody may claim it again.
    bool close = false;
    bool release = false; //!< gives up a claim that was never used
    duration lease{};
    agent_reach reach; //!< agents that the job may use
    reach_number named_reach;
    //! Whether `reach` is here; otherwise it was told before under its number.
    bool tells_reach = true;

    friend bool operator==(const claim_request_options&,
                           const claim_request_options&) = default;
};

//! Asks for a claim, or renews it.
using claim_request = immutable<claim_request_options>;

enum class claim_verdict
{
    granted,       //!< the sender holds the claim for the lease
    held,          //!< another entry holds it, or the renewed claim is lost
    closed,        //!< the submission ended with a failure
    mismatch,      //!< the submission has other content
    fenced,        //!< created before this replica's memory, or out of bounds
    unknown_reach, //!< no vote: the claim names a reach that was not told here
};

struct claim_vote_options
{
    claim_verdict verdict = claim_verdict::fenced;
    std::string holder_address; //!< when held
    claim_round round;
    duration first_claim_age{}; //!< zero for the first claim
    agent_reach reach;          //!< of every claim so far, if others held it

    friend bool operator==(const claim_vote_options&,
                           const claim_vote_options&) = default;
};

//! One replica's word on a claim.
using claim_vote = immutable<claim_vote_options>;

struct ledger_options
{
    wall_time memory_since{}; //!< start of this process
    duration clock_skew = std::chrono::milliseconds(500);
    //! Longer than oldest_submission, so that no record is missed.
    duration retention = std::chrono::minutes(10);
    duration oldest_submission = std::chrono::minutes(5);
    instant began{}; //!< start of this process, on its monotonic clock
    //! Longest time from the first submission of a job without a creation time
    //! to a resubmission of it.
    duration undated_horizon = std::chrono::seconds(5);
    //! Every live claim is remembered, although the process is young.
    bool complete = false;

    friend bool operator==(const ledger_options&,
                           const ledger_options&) = default;
};

//! @return whether a replica votes on submissions that are created now.
bool past_fence(const ledger_options& options, wall_time wall) noexcept;

//! @return whether a replica votes on submissions without a creation time: it
//! remembers all that may be submitted again.
bool past_undated_fence(const ledger_options& options, instant now) noexcept;

//! The records of one shard. Not thread-safe; the shard's lock guards it.
class ledger_shard
{
public:
    explicit ledger_shard(ledger_options options) noexcept;

    //! Decides on a claim and records it.
    claim_vote claim(const claim_request& asked, instant now, wall_time wall);

    //! Records a claim that its holder has told, unless it is known.
    void remember(const claim_request& held, instant now);

    //! Votes on submissions without a creation time from now on: every live
    //! claim is remembered.
    void set_complete() noexcept;

    //! Drops records past the retention.
    void expire(instant now);

    std::size_t size() const noexcept;

private:
    struct record
    {
        content_digest digest;
        entry_id holder;
        incarnation holder_run;
        std::string holder_address;
        claim_ask ask;
        claim_round round;
        instant first_claim{};
        instant lease_end{};
        bool closed = false;
        bool adopted = false; //!< had another holder, or another life of it
        agent_reach reach;
    };

    static claim_vote claim_again(record& held, const claim_request& asked,
                                  instant now);
    bool remembers(const claim_request& asked, instant now,
                   wall_time wall) const noexcept;
    claim_vote add(const claim_request& asked, instant now, wall_time wall);
    static claim_vote release(record& held, const claim_request& asked,
                              instant now);
    static claim_vote renew(record& held, const claim_request& asked,
                            instant now);
    static claim_vote adopt(record& held, const claim_request& asked,
                            instant now);

    void record_claim(const claim_request& asked, instant now);

    ledger_options options_;
    std::unordered_map<submission_id, record> records_;
};

} // namespace lagoonquay
