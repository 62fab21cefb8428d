//! Whom to ask for a claim, one answer at a time.
#pragma once

#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/replica_group.hpp"

#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

//! What a replica said to a claim.
struct claim_answer
{
    std::optional<claim_vote> vote; //!< nothing if it gave none
    bool gone = false;              //!< the replica's process has ended
};

//! What to do next.
struct claim_step
{
    std::vector<endpoint> ask;
    std::optional<claim_outcome> outcome; //!< once, then nothing more follows
};

//! Asks as many replicas of each group as decide, and others in place of those
//! that do not grant the claim or do not answer. Pure; not thread-safe.
class claim_poll
{
public:
    //! @param groups  one at least; the claim needs a majority of each.
    //! @param sent    when the first request is sent.
    claim_poll(const claim_request& asked, std::vector<replica_group> groups,
               instant sent);

    //! @param local  the vote of the replica here, if it is in a group.
    claim_step start(const std::optional<claim_vote>& local);

    claim_step add(const endpoint& replica, const claim_answer& answer);

    //! Asks another replica for each one that has not answered.
    claim_step pass_over_silent();

    //! @return who was asked and has not answered.
    const std::set<endpoint>& pending() const noexcept;

private:
    struct group_poll
    {
        replica_group group;
        claim_tally tally;
        std::optional<claim_outcome> outcome;
    };

    static bool has(const group_poll& it, const endpoint& replica);
    static void count(group_poll& it, const claim_answer& answer);
    std::size_t first_asked(const group_poll& it) const noexcept;
    bool awaits(const group_poll& it) const;
    void ask_first(const group_poll& it, claim_step& step);
    void ask(const group_poll& it, std::size_t count, claim_step& step);
    bool ask(const endpoint& replica, claim_step& step);
    void ask_after(const group_poll& it, const claim_answer& answer,
                   claim_step& step);
    claim_step finish(claim_step step);

    const bool release_;
    std::vector<group_poll> groups_;
    std::set<endpoint> asked_;
    std::set<endpoint> pending_;
    bool decided_ = false;
};

} // namespace lagoonquay
