//! Permission to start work, read from a majority of control replicas.
#pragma once

#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/fleet_view.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

//! How long a permit lasts, counted from when its request was sent.
constexpr duration permit_duration = std::chrono::seconds(2);

//! One replica's word. A change that is not committed yet counts here when it
//! forbids work, and not when it allows work.
struct permit_vote
{
    replica_id replica;
    version_number version;          //!< last committed
    std::optional<fleet_view> view;  //!< to those who know less and ask for it
    std::set<domain_id> pending_out; //!< uncommitted
    std::set<agent_id> pending_drains; //!< uncommitted

    friend bool operator==(const permit_vote&, const permit_vote&) = default;
};

struct permit_options
{
    fleet_view view;
    std::set<domain_id> out_domains;
    std::set<agent_id> drained_agents;
    instant valid_until{};

    friend bool operator==(const permit_options&,
                           const permit_options&) = default;
};

//! What a majority allowed, until when.
using permit = immutable<permit_options>;

//! What a process does once its permit has run out.
enum class permit_policy
{
    expire, //!< starts no work until a majority of control answers
    keep,   //!< goes on with the last permit while no majority answers
};

//! @return the time to judge a permit at: `now`, or under `keep` the permit's
//! last moment once it has run out.
instant permit_time(const permit& held, permit_policy policy,
                    instant now) noexcept;

//! @return what is left of a permit; zero without one.
duration left_of(const std::optional<permit>& held, instant now) noexcept;

//! @return the time since the permit was asked for: all that was committed
//! before then is in its view.
duration age_of(const permit& held, instant now) noexcept;

//! @return whether the votes are a majority of so many replicas.
bool is_majority(const std::vector<permit_vote>& votes,
                 std::size_t replicas) noexcept;

//! Merges the replicas' words.
//! @param known  the newest view that this process has applied.
//! @param sent   when the request for the votes was sent.
//! @return the permit, or nothing without a majority or its newest view.
std::optional<permit> merge_votes(const std::vector<permit_vote>& votes,
                                  std::size_t replicas, const fleet_view& known,
                                  instant sent);

//! @return whether an agent of `domain` may start work at `now`.
bool allows_start(const permit& held, const agent_id& agent,
                  const domain_id& domain, instant now) noexcept;

//! @return whether an entry may accept and dispatch work at `now`.
bool allows_entry(const permit& held, const entry_id& entry,
                  instant now) noexcept;

} // namespace lagoonquay
