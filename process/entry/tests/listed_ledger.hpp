//! The ledger of a fake fleet in the way of the product: groups of replicas
//! from lists of the entries that control sends, and replicas that recover
//! their claims from their peers. For jobs without a creation time.
//!
//! A test attaches it before the fleet begins:
//!
//!     listed_ledger ledger_{fleet_, {.seed = seed}};
//!     fake_fleet fleet_{ledger_.attach({.entries = 6, .late_entries = 2})};
//!
//! in this order, as the hooks refer to the ledger. attach() sets the hooks of
//! entries and of claims and keeps those of agents. Violations are added to the
//! fleet's record. adjust_entry of the given options is called last.
#pragma once

#include "fake_fleet.hpp"
#include "held_rounds.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace lagoonquay
{

struct listed_ledger_options
{
    std::uint64_t seed = 1;
    duration lease = std::chrono::milliseconds(1500);
    //! Shares of the requests and the answers between entries, and between
    //! entries and control. Each is judged on its own.
    std::uint64_t loss_percent = 0;
    std::uint64_t late_percent = 0;
    duration longest_delay = std::chrono::milliseconds(800); //!< of late ones
    std::size_t domains = 3;
    //! Time after which control no longer lists an entry that ended.
    duration member_silence = std::chrono::seconds(3);

    friend bool operator==(const listed_ledger_options&,
                           const listed_ledger_options&) = default;
};

class listed_ledger
{
public:
    //! @param fleet  may be constructed later, with attach().
    listed_ledger(fake_fleet& fleet, const listed_ledger_options& options);
    ~listed_ledger();
    listed_ledger(const listed_ledger&) = delete;
    listed_ledger& operator=(const listed_ledger&) = delete;

    fake_fleet_options attach(fake_fleet_options options);

    //! Cuts two entries off from each other, or joins them again.
    void part(std::size_t a, std::size_t b, bool apart);
    //! Cuts an entry off from control and the other entries.
    void cut_off(std::size_t entry, bool apart);
    //! An entry gets the present list again and again, as from a replica of
    //! control that hears of no change.
    void hold_list(std::size_t entry);
    void join_all();

    //! @return whether the replica of a living entry votes on all jobs.
    bool complete(std::size_t entry) const;
    const held_round_counts& counts() const noexcept;

    //! Called after the replica of an entry has voted on another's claim.
    std::function<void(std::size_t entry, const claim_request&)> on_vote;

private:
    struct host;
    struct exchange;
    using host_pointer = std::shared_ptr<host>;
    //! A request to another entry.
    struct call
    {
        //! Runs at the peer. @return what to run with the answer.
        std::function<virtual_time::event(host&)> serve;
        //! Called if no answer arrives in time, or the connection is refused.
        std::function<void(bool refused)> fail;
        std::mt19937_64* random = nullptr; //!< for its faults
        bool ended = false;
    };

    void begin(std::size_t entry, const process_pointer& process);
    void end(std::size_t entry);
    void tick(const host_pointer& at);
    void adjust(entry_options& options);

    // The lists of control.
    void poll(const host_pointer& to);
    std::vector<member> listed_entries() const;
    std::vector<member> list_for(std::size_t entry) const;
    void learn(host& to, const std::vector<member>& entries);

    // Between entries.
    void send(const host_pointer& from, std::size_t to, call made);
    void serve(const host_pointer& peer, const host_pointer& from,
               const std::shared_ptr<call>& made);
    void ask_for_claims(const host_pointer& from, const endpoint& peer,
                        const held_claims_hook& done);
    void ask_for_established(const host_pointer& from);
    ledger_peer as_peer(const host& at) const;
    const record_scope& scope_of(host& at) const;
    void ask_for_records(const host_pointer& from, const endpoint& peer,
                         std::uint64_t first_shard,
                         const peer_records_hook& done);
    bool is_apart(std::size_t a, std::size_t b) const;
    bool is_lost(std::mt19937_64& random) const;
    duration delay(std::mt19937_64& random) const;

    // listed_ledger_claims.cpp
    void claim(std::size_t from, const claim_request& asked,
               claim_callback done);
    void send_claim(const host_pointer& from, const endpoint& replica,
                    const claim_request& asked,
                    const std::function<void(const claim_answer&)>& done);

    fake_fleet& fleet_;
    const listed_ledger_options options_;
    std::mt19937_64 random_;
    //! For the questions about established entries, so that the seeds' other
    //! faults are those of schedules without these questions.
    std::mt19937_64 random_of_questions_;
    std::function<void(entry_options&)> adjust_further_;
    std::vector<host_pointer> hosts_;
    std::vector<incarnation> runs_; //!< of the entries' last processes
    std::set<std::pair<std::size_t, std::size_t>> parted_;
    std::set<std::size_t> cut_off_;
    std::map<std::size_t, std::vector<member>> held_lists_;
    held_rounds held_;
};

} // namespace lagoonquay
