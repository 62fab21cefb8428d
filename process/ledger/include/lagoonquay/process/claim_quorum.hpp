//! Selects the replicas that a claim is sent to, and decides its outcome.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/replica_group.hpp"

#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

//! A replica's answer to a claim.
struct claim_answer
{
    std::optional<claim_vote> vote; //!< nothing if the replica did not vote
    bool gone = false;              //!< the replica's process has ended
    instant gone_since{};           //!< when it was found gone
};

//! What the caller has to do next.
struct claim_step
{
    std::vector<endpoint> ask; //!< replicas to send the claim to
    //! Set once; all later steps are empty.
    std::optional<claim_outcome> outcome;
};

//! Runs one claim against its replica groups. At first asks only as many
//! replicas of each group as make a majority, and then one more for each that
//! does not grant the claim or does not answer. Pure; not thread-safe.
class claim_quorum
{
public:
    //! @param groups  at least one; the claim needs a majority of each.
    //! @param sent    when the first request is sent; the lease begins then.
    claim_quorum(const claim_request& asked, std::vector<replica_group> groups,
                 instant sent);

    //! @param local  the vote of the replica in this process; nothing if it is
    //!               in no group.
    //! @return the replicas to ask first.
    claim_step start(const std::optional<claim_vote>& local);

    //! Adds the answer of a replica that was asked, also if it is late.
    //! @param more  groups that it told of. The claim needs a majority of each
    //!              of these as well, unless it is decided already.
    claim_step add(const endpoint& replica, const claim_answer& answer,
                   std::vector<replica_group> more = {});

    //! Asks one more replica for each that has not answered. Late answers
    //! still count.
    claim_step hedge_pending();

    //! @return the replicas that were asked and have not answered.
    const std::set<endpoint>& pending() const noexcept;

private:
    struct group_quorum
    {
        replica_group group;
        claim_tally tally;
        std::optional<claim_outcome> outcome;
    };

    static bool contains(const group_quorum& quorum, const endpoint& replica);
    void add_group(replica_group group);
    void join_group(replica_group group, claim_step& step);
    static void count_answer(group_quorum& quorum, const claim_answer& answer);
    std::size_t
    initial_request_count(const group_quorum& quorum) const noexcept;
    bool has_pending(const group_quorum& quorum) const;
    void ask_initial(const group_quorum& quorum, claim_step& step);
    void ask(const group_quorum& quorum, std::size_t count, claim_step& step);
    bool ask(const endpoint& replica, claim_step& step);
    void ask_after_answer(const group_quorum& quorum,
                          const claim_answer& answer, claim_step& step);
    claim_step decide(claim_step step);

    const claim_request request_;
    const instant sent_;
    const bool asks_all_;
    std::vector<group_quorum> groups_;
    std::set<endpoint> asked_;
    std::set<endpoint> pending_;
    std::optional<claim_vote> local_;
    std::vector<std::pair<endpoint, claim_answer>> answers_;
    bool decided_ = false;
};

} // namespace lagoonquay
