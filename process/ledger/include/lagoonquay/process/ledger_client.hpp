//! Claims submissions at the ledger replicas of other entries, over HTTP.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/latency_estimator.hpp"
#include "lagoonquay/process/refused_connection.hpp"
#include "lagoonquay/process/replica_group.hpp"

#include <functional>
#include <vector>

namespace lagoonquay
{

class http_client;
class ledger_replica;

//! Returns the groups of replicas that decide on a submission. Called from any
//! thread.
using replica_groups_hook =
    std::function<std::vector<replica_group>(const submission_id&)>;

//! Called with a replica's vote on a request. Returns further groups that
//! decide on its submission.
using told_groups_hook = std::function<std::vector<replica_group>(
    const endpoint&, const claim_request&, const claim_vote&)>;

struct ledger_client_options
{
    replica_groups_hook groups;
    //! Adds what a request tells of the entries that this one counts; none if
    //! absent.
    std::function<claim_request(const claim_request&)> tell_entries = {};
    told_groups_hook told_groups = {};
    //! Runs a callback after a delay. Without it another replica is asked only
    //! when an answer arrives, never because an answer is late.
    delay_hook after;
    //! Timeout of a request to one replica.
    duration timeout = std::chrono::milliseconds(500);
    //! Sets, from the times of recent answers, how long to wait for a replica
    //! before another one is asked in its place.
    latency_estimator_options patience;
    //! If absent, a refused connection always shows that a replica's process
    //! has ended.
    refusal_proof_hook refusal_proves_end = {};
};

//! @return a hook that sends a claim to just enough replicas of each group for
//! a majority, and to others in place of those that refuse or do not answer.
//! `client` and `local` must outlive the hook.
claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now);

} // namespace lagoonquay
