//! Rebuilds the in-memory claims of a ledger replica after its start from the
//! claims that other entries hold, and from the records of their replicas.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/held_claims.hpp"
#include "lagoonquay/process/records_takeover.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace lagoonquay
{

struct ledger_recovery_options
{
    //! Time after the end of an entry by which its runs have ended.
    duration run_end_delay = std::chrono::milliseconds(1500);
    //! Time after the start by which control has listed every live entry and
    //! agent.
    duration member_list_delay = std::chrono::milliseconds(700);
    //! Time after the start from which the replica votes without records.
    duration records_needed_for =
        ledger_options().max_undated_resubmission_delay;
    //! Peers that are asked for their claims at a time: what they tell keeps
    //! claims waiting.
    std::size_t max_peers_asked = 12;
    //! Time after which a peer that is silent no longer counts as one of them.
    duration answer_patience = std::chrono::milliseconds(100);
    records_takeover_options records;

    friend bool operator==(const ledger_recovery_options&,
                           const ledger_recovery_options&) = default;
};

//! Receives a peer's claims, or nothing if it did not answer. Called once.
using held_claims_hook = std::function<void(const std::optional<held_claims>&)>;

//! What proved that the replica lacks no claim in force.
enum class ledger_proof
{
    no_old_runs, //!< no run of an earlier life is left at any agent
    time,        //!< the runs of every entry that is gone have ended by now
};

std::string_view to_text(ledger_proof proof) noexcept;

//! How a recovery ended, and what it still lacked for the other proof.
struct ledger_completion
{
    ledger_proof by = ledger_proof::no_old_runs;
    duration after{};              //!< time since the start
    std::size_t peers = 0;         //!< the other entries
    std::size_t with_old_runs = 0; //!< of them, may have old runs
    bool stray_runs = false;       //!< whether an agent may have a stray run

    friend bool operator==(const ledger_completion&,
                           const ledger_completion&) = default;
};

struct ledger_recovery_hooks
{
    clock_hook now;
    //! @return the other entries, or nothing before control has sent a member
    //! list.
    std::function<std::optional<std::vector<endpoint>>()> peers;
    std::function<void(const endpoint&, held_claims_hook)> ask;
    std::function<void(const claim_request&)> restore_claim;
    //! Asks a peer for the page of records that begins with a shard.
    std::function<void(const endpoint&, std::uint64_t first_shard,
                       peer_records_hook)>
        ask_for_records;
    std::function<void(const ledger_record&)> restore_record;
    std::function<void(duration, std::function<void()>)> after;
    //! @return whether every agent reports that it has no run left of an entry
    //! that is gone.
    std::function<bool()> no_stray_runs;
    //! Called once, when the replica has stored every live claim.
    std::function<void(const ledger_completion&)> done;
};

//! Queries each peer for its claims until all have answered, a few at a time,
//! and then takes over its records once. While a peer is silent, it also takes
//! what the others have. Thread-safe.
class ledger_recovery
{
public:
    ledger_recovery(ledger_recovery_options options,
                    ledger_recovery_hooks hooks);

    //! Call a few times a second.
    void tick();

private:
    void ask_next();
    std::optional<endpoint> take_waiting();
    void on_answer(const endpoint& peer,
                   const std::optional<held_claims>& answer);
    records_takeover_hooks records_hooks();
    void note_answer(const endpoint& peer, const held_claims& answer);
    std::vector<endpoint> peers_for_records();
    bool have_all_answered() const;
    bool needs_records(instant now) const;
    void note_end(const endpoint& peer);
    bool has_all_records(const std::vector<endpoint>& peers) const;
    std::optional<ledger_completion>
    completion(const std::vector<endpoint>& peers, bool stray_runs,
               instant now) const;

    const ledger_recovery_options options_;
    const ledger_recovery_hooks hooks_;

    const instant started_at_;

    mutable std::mutex mutex_;
    instant last_peer_end_; //!< when a peer was last found gone, or the start
    std::vector<endpoint> peers_;             //!< of the last tick
    std::deque<endpoint> waiting_peers_;      //!< to be asked, in this order
    std::map<endpoint, instant> asked_peers_; //!< queries in flight
    std::set<endpoint> queried_peers_;        //!< both of these
    std::set<endpoint> answered_peers_;
    //! Subset of answered_peers_ whose old runs have ended.
    std::set<endpoint> peers_without_old_runs_;
    std::set<endpoint> silent_peers_; //!< whose last query had no answer
    bool took_early_ = false;         //!< records, before all had answered
    bool done_ = false;
    records_takeover records_;
};

} // namespace lagoonquay
