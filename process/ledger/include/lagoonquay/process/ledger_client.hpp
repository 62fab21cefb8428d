//! Claims through the ledger replicas of other entries.
#pragma once

#include "lagoonquay/process/answer_times.hpp"
#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/replica_group.hpp"

#include <functional>
#include <vector>

namespace lagoonquay
{

class http_client;
class ledger_replica;

//! Names the replicas that decide on a submission. Called from any thread.
using replica_groups_hook =
    std::function<std::vector<replica_group>(const submission_id&)>;

struct ledger_client_options
{
    replica_groups_hook groups;
    delay_hook after; //!< without it only an answer brings others in
    duration timeout = std::chrono::milliseconds(500);
    //! Replicas that take longer than most answers do are passed over.
    answer_times_options patience;
};

//! @return a hook that asks as many replicas of each group as decide.
//! All of them must outlive the hook.
claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now);

} // namespace lagoonquay
