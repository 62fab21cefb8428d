//! What all rounds of heartbeats of a process share.
#pragma once

#include "lagoonquay/process/heard_members.hpp"
#include "lagoonquay/process/heartbeat_pacing.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/process/view_fetch.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! The votes of one round. Thread-safe.
class heartbeat_round
{
public:
    explicit heartbeat_round(instant sent);

    //! @return when the heartbeats were sent.
    instant sent() const noexcept;

    void add(permit_vote vote);

    //! @return the votes so far.
    std::vector<permit_vote> votes() const;

private:
    const instant sent_;
    mutable std::mutex mutex_;
    std::vector<permit_vote> votes_;
};

//! The replicas, the newest view and when a majority answered last.
//! Thread-safe.
class permit_rounds
{
public:
    permit_rounds(permit_client_hooks hooks, std::vector<endpoint> first);

    const permit_client_hooks& hooks() const noexcept;

    void set_first(std::vector<endpoint> first);

    //! Begins a round, if one is due.
    std::shared_ptr<heartbeat_round> take_round();

    //! @return the replicas to ask in a round.
    std::vector<endpoint> targets() const;

    //! @return the heartbeat for a replica.
    permit_request heartbeat(const endpoint& replica) const;

    //! Takes a replica's answer, and holds the permit that a majority gives.
    void take(heartbeat_round& round, const endpoint& replica,
              const permit_reply& reply);

    //! @return whom to ask for a newer view, if it is time to.
    std::optional<view_query> take_query();

    //! @return the heartbeat that asks a replica for the newest view.
    permit_request question(const endpoint& replica) const;

    //! Takes the answer to a query. @return false if it holds no view that can
    //! be used.
    bool take_view(const permit_reply& reply);

    //! A query has brought no view.
    void query_failed();

    //! Logs when no majority has answered for as long as a permit lasts.
    void notice_loss();

private:
    fleet_view known() const;
    void learn(const replica_set& heard);
    void learn_members(const endpoint& replica, const member_changes& changes);
    void merge(const heartbeat_round& round);
    void set_permit(const permit& granted, instant sent);

    const permit_client_hooks hooks_;
    mutable std::mutex mutex_;
    std::vector<endpoint> first_;
    replica_set replicas_;
    std::map<endpoint, heard_members> members_;
    heartbeat_pacing pacing_;
    view_fetch fetch_;
    fleet_view fetched_; //!< may be newer than what is in force here
    std::shared_ptr<heartbeat_round> newest_;
    std::optional<instant> granted_;
    bool lost_ = false;
};

} // namespace lagoonquay
