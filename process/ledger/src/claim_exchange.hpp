//! One claim on its way to its replicas. Private to the ledger.
#pragma once

#include "claim_sender.hpp"
#include "lagoonquay/process/answer_times.hpp"
#include "lagoonquay/process/silent_replicas.hpp"

#include <memory>
#include <mutex>

namespace lagoonquay
{

//! What the claims of an entry are sent with.
struct claim_exchange_options
{
    std::shared_ptr<claim_sender> sender;
    std::shared_ptr<silent_replicas> silent;
    std::shared_ptr<answer_times> times;
    clock_hook now;
};

//! Does what a claim_poll says. Shared by the callbacks of its replicas.
class claim_exchange : public std::enable_shared_from_this<claim_exchange>
{
public:
    claim_exchange(claim_exchange_options options, claim_request named,
                   std::vector<replica_group> groups, claim_callback done);

    //! @param local  the vote of the replica here, if it is in a group.
    void start(const std::optional<claim_vote>& local);

    void pass_over_silent();

private:
    void on_answer(const endpoint& replica, instant sent,
                   const claim_answer& answer);
    void take(const claim_step& step);

    const claim_exchange_options options_;
    const claim_request asked_;
    const claim_callback done_;

    std::mutex mutex_;
    claim_poll poll_;
};

} // namespace lagoonquay
