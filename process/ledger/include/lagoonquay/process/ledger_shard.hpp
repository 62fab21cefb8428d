//! Claims of submissions in one shard of a ledger replica. Does no input or
//! output; callers pass the time.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/agent_reach.hpp"
#include "lagoonquay/process/record_scope.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/time.hpp"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonquay
{

//! Number of a claim among those of one submission; each later holder has a
//! larger one.
using claim_round = number_id<struct claim_round_tag>;

//! Sequence number of a new claim among all claims of one entry incarnation.
using claim_sequence = number_id<struct claim_sequence_tag>;

//! Number of a reach among those of one entry incarnation; zero means none.
using reach_number = number_id<struct reach_number_tag>;

//! Of the entries that one counts, itself included: the same for all that count
//! the same ones. Zero if unknown.
using entries_digest = number_id<struct entries_digest_tag>;

struct claim_request_options
{
    submission_id submission;
    content_digest digest;
    wall_time created{};
    bool dated = true; //!< whether the caller has set `created`
    entry_id holder;
    incarnation holder_run;
    std::string holder_address; //!< where others forward resubmissions
    claim_round round;          //!< of the claim to renew; zero for a new claim
    //! Sequence number of the holder's new claims; a replica rejects a message
    //! with a lower one as stale.
    claim_sequence ask;
    //! Ends the submission with a failure; no entry can claim it again.
    bool close = false;
    bool release = false; //!< gives up a claim that was never used
    bool lookup = false;  //!< asks for the holder, and changes nothing
    //! The sender doesn't hold the claim of `round`: no quorum has confirmed it
    //! yet, or its lease has ended.
    bool lapsed = false;
    duration lease{};
    agent_reach reach; //!< agents that the job may use
    //! Number under which the replica caches `reach`; zero if it has none.
    reach_number cached_reach_number;
    //! Whether the request contains `reach`. Otherwise the replica looks up
    //! the reach that an earlier request sent under `cached_reach_number`.
    bool contains_reach = true;
    entries_digest entries; //!< that the holder counts
    //! Asks whether the replica counts the same entries, and for its groups.
    bool asks_entries = false;

    friend bool operator==(const claim_request_options&,
                           const claim_request_options&) = default;
};

//! Requests a new claim, or renews, closes or releases one.
using claim_request = immutable<claim_request_options>;

struct ledger_record_options
{
    //! The recorded claim; `lease` is the time left and zero once it has ended,
    //! `close` whether the submission was closed. The holder's incarnation is
    //! zero if it is not known which of several entries holds the claim.
    claim_request claim;
    //! Highest round of the submission that the replica knows.
    claim_round highest_round;
    //! Time since the lease ended, if it has.
    duration lapsed_for{};

    friend bool operator==(const ledger_record_options&,
                           const ledger_record_options&) = default;
};

//! A replica's record of a submission, as it tells it to a younger replica.
using ledger_record = immutable<ledger_record_options>;

enum class claim_verdict
{
    granted,  //!< the sender holds the claim for the lease
    held,     //!< another entry holds it, or the renewed claim is lost
    closed,   //!< the submission ended with a failure
    mismatch, //!< the submission has other content
    //! This replica may lack an earlier record of the submission, or the
    //! creation time is too old or too far in the future.
    fenced,
    unknown_reach, //!< no vote: `cached_reach_number` is unknown to this
                   //!< replica
};

struct claim_vote_options
{
    claim_verdict verdict = claim_verdict::fenced;
    std::string holder_address; //!< when held
    claim_round round;
    duration first_claim_age{}; //!< zero for the first claim and for renewals
    agent_reach reach; //!< agents of all claims so far, if it had other holders
    //! Whether the replica's entry counts the entries that the holder counts;
    //! nothing if it wasn't asked, or is of an earlier version.
    std::optional<bool> same_entries = std::nullopt;
    duration entries_for{}; //!< for how long it has counted all of its entries
    //! The groups that it would ask, if it counts others or was asked.
    std::vector<std::vector<endpoint>> groups = {};

    friend bool operator==(const claim_vote_options&,
                           const claim_vote_options&) = default;
};

//! One replica's vote on a claim.
using claim_vote = immutable<claim_vote_options>;

struct ledger_options
{
    wall_time records_since{}; //!< process start; no older record exists
    //! Largest expected deviation of a wall clock.
    duration clock_skew = std::chrono::milliseconds(500);
    //! How long a record is kept after its lease. Longer than
    //! oldest_submission, so that no record is dropped while its submission
    //! can still be claimed.
    duration retention = std::chrono::minutes(10);
    //! Submissions created longer ago than this are fenced.
    duration oldest_submission = std::chrono::minutes(5);
    instant started_at{}; //!< start of this process, on its monotonic clock
    //! Longest time from the first submission of a job without a creation time
    //! to its last resubmission.
    duration max_undated_resubmission_delay = std::chrono::seconds(5);
    //! Whether every claim in force has a record here, even if the process has
    //! started recently.
    bool complete = false;

    friend bool operator==(const ledger_options&,
                           const ledger_options&) = default;
};

//! @return whether a replica votes on submissions created at `wall`: it
//! cannot have voted on them before its process was restarted.
bool is_past_fence(const ledger_options& options, wall_time wall) noexcept;

//! @return whether a replica votes on submissions without a creation time: it
//! has a record of each one that can still be submitted again.
bool is_past_undated_fence(const ledger_options& options, instant now) noexcept;

//! The records of one shard. Not thread-safe; the shard's lock guards it.
class ledger_shard
{
public:
    explicit ledger_shard(ledger_options options) noexcept;

    //! Decides on a claim and records it.
    claim_vote claim(const claim_request& request, instant now, wall_time wall);

    //! Restores the record of a claim that an entry has reported as held or, in
    //! round zero, as in flight. The result doesn't depend on the order of
    //! reports and records; a record of a vote is kept.
    void restore_claim(const claim_request& held, instant now);

    //! Restores a record of another replica. Its claim may never have been
    //! granted by a quorum.
    void restore_record(const ledger_record& told, instant now);

    //! @return the records that a replica which began anew may need: those of
    //! jobs without a creation time that can still be submitted again.
    std::vector<ledger_record> recent_records(instant now) const;

    //! Notes that every claim in force that the scope covers has a record here,
    //! so that the shard votes on these submissions from now on, without a
    //! creation time.
    void set_complete(const record_scope& scope = {});

    //! Drops records past the retention.
    void expire(instant now);

    std::size_t size() const noexcept;

private:
    //! What a record was made from.
    enum class record_source
    {
        vote,
        in_flight, //!< reports of new claims in flight, and nothing else
        told,      //!< records of other replicas, or reports that prove nothing
        proven,    //!< the report of a holder whose lease had not ended
    };

    struct record
    {
        content_digest digest;
        entry_id holder;
        incarnation holder_run;
        std::string holder_address;
        claim_sequence ask;
        claim_round round;
        instant first_claim{};
        instant lease_end{};
        bool dated = true; //!< whether the job has a creation time
        bool closed = false;
        //! Whether it had another holder, or an earlier claim by this one.
        bool adopted = false;
        record_source source = record_source::vote;
        //! At least `round`; a claim by a new holder gets a higher one.
        claim_round highest_round;
        //! Whether a renewal replaced the report of another's claim in flight.
        bool replaces_report = false;
        agent_reach reach;
    };

    static claim_vote repeat_claim(record& held, const claim_request& request,
                                   instant now);
    bool is_past_undated_fence_of(const submission_id& submission,
                                  instant now) const;
    bool can_vote(const claim_request& request, instant now,
                  wall_time wall) const;
    claim_vote add(const claim_request& request, instant now, wall_time wall);
    static claim_vote look_up(const record& held, instant now);
    static claim_vote release(record& held, const claim_request& request,
                              instant now);
    claim_vote renew(record& held, const claim_request& request, instant now);
    claim_vote renew_beside(const record& held, const claim_request& request,
                            instant now);
    static claim_vote adopt(record& held, const claim_request& request,
                            instant now);

    record& record_claim(const claim_request& request, instant now);
    static bool is_in_flight(const record& known) noexcept;
    bool must_wait(const record& known, const claim_request& request,
                   instant now) const;
    claim_vote renew_beside_told(const record& held,
                                 const claim_request& request, instant now);
    claim_vote replace_report(const record& known, const claim_request& request,
                              instant now, wall_time wall);

    // ledger_shard_restore.cpp
    void restore(const ledger_record& told, record_source source, instant now);
    static void join_report(record& known, const claim_request& other,
                            instant now);
    static void join_proof(record& known, const claim_request& held);
    static void join_told(record& known, const claim_request& other,
                          instant now);
    static void set_holder(record& known, const claim_request& claim);
    static ledger_record to_ledger_record(const submission_id& submission,
                                          const record& known, instant now);

    ledger_options options_;
    record_scope scope_; //!< of its records, if it is complete by these
    std::unordered_map<submission_id, record> records_;
};

} // namespace lagoonquay
