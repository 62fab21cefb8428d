//! Sends one claim to its replicas and collects the votes. Private to the
//! ledger.
#pragma once

#include "claim_sender.hpp"
#include "lagoonquay/process/ended_replicas.hpp"
#include "lagoonquay/process/latency_estimator.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/unresponsive_replicas.hpp"

#include <memory>
#include <mutex>

namespace lagoonquay
{

//! State that all claims of an entry share.
struct claim_exchange_options
{
    std::shared_ptr<claim_sender> sender;
    std::shared_ptr<unresponsive_replicas> unresponsive;
    std::shared_ptr<ended_replicas> ended;
    std::shared_ptr<latency_estimator> response_times;
    told_groups_hook told_groups;
    clock_hook now;
};

//! Carries out the steps that a claim_quorum decides on. Owned jointly by the
//! callbacks of the requests in flight. Thread-safe.
class claim_exchange : public std::enable_shared_from_this<claim_exchange>
{
public:
    //! @param request  the request with the number of its reach.
    //! @param done     called once with the outcome.
    claim_exchange(claim_exchange_options options, claim_request request,
                   std::vector<replica_group> groups, claim_callback done);

    //! Sends the first requests.
    //! @param local  the vote of this entry's own replica, if it is in a group.
    void start(const std::optional<claim_vote>& local);

    //! Asks another replica for each one that has not answered so far.
    void hedge_pending();

private:
    void on_answer(const endpoint& replica, instant sent,
                   const claim_answer& answer);
    void carry_out(const claim_step& step);

    const claim_exchange_options options_;
    const claim_request request_;
    const claim_callback done_;

    std::mutex mutex_;
    claim_quorum quorum_;
};

} // namespace lagoonquay
