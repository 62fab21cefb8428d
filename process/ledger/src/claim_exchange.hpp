//! One claim on its way to a quorum. Private to the ledger.
#pragma once

#include "claim_sender.hpp"

#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace lagoonquay
{

//! What the claims of an entry are sent with.
struct claim_exchange_options
{
    std::shared_ptr<claim_sender> sender;
    std::shared_ptr<replica_order> order;
    clock_hook now;
};

//! Asks as many replicas as decide, and others in place of those that do not
//! grant the claim or do not answer. Shared by the callbacks of its replicas.
class claim_exchange : public std::enable_shared_from_this<claim_exchange>
{
public:
    //! @param replicas  the others, first to ask first.
    claim_exchange(claim_exchange_options options, claim_request named,
                   const std::vector<endpoint>& replicas, claim_callback done);

    //! Counts the local vote and asks others unless that decides.
    void start(const claim_vote& local);

    //! Asks another replica for each one that has not answered.
    void pass_over_silent();

private:
    std::size_t first_asked() const noexcept;
    void ask(std::size_t count);
    void on_answer(const endpoint& replica, const claim_answer& answer);
    //! @return how many more to ask; calls back once it is decided.
    std::size_t add(const claim_answer& answer);
    std::size_t wanted_after(const claim_answer& answer) const;

    const claim_exchange_options options_;
    const claim_request asked_;
    const std::vector<endpoint> replicas_;
    const claim_callback done_;

    std::mutex mutex_;
    claim_tally tally_;
    std::size_t next_ = 0;       //!< the first of replicas_ not asked yet
    std::set<endpoint> pending_; //!< asked, without an answer
    bool decided_ = false;
};

} // namespace lagoonquay
