//! The other entries of the fleet, from the lists that control sends.
#pragma once

#include "lagoonquay/process/held_claims.hpp"
#include "lagoonquay/process/replica_group.hpp"
#include "lagoonquay/version/member.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Longest time between two lists while control is in touch; rounds of
//! heartbeats are 500 ms apart.
constexpr duration max_list_gap = std::chrono::milliseconds(700);

//! Period in which a new entry asks the others which are established.
constexpr duration established_period = std::chrono::milliseconds(500);

//! An entry that was not listed for longer than its retention divided by this
//! gets no vote, and its own don't count.
constexpr int unlisted_part = 3;

//! Time without a request after which a process that was removed counts as
//! ended.
constexpr duration removed_retention = std::chrono::hours(24);

//! @return how long an entry that is no longer listed is kept where claims hold
//! for `claim_lease`.
duration entry_retention(duration claim_lease) noexcept;

//! An entry that was listed for the first time, or is no longer counted.
struct peer_change
{
    endpoint address;
    std::string id;
    incarnation run;
    bool is_dropped = false;

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

//! An entry that all others count now, and by what that is known.
struct counted_entry
{
    endpoint address;
    std::string id;
    duration after{};           //!< since this entry first heard of it
    std::vector<endpoint> told; //!< the others that said so

    friend bool operator==(const counted_entry&,
                           const counted_entry&) = default;
};

//! Keeps entries for some time after control ceases to list them. Thread-safe.
class entry_peers
{
public:
    //! @param own        this entry's address, which is left out.
    //! @param retention  how long an entry that is no longer listed is kept.
    //!                   Must be longer than the lease of a claim, so that an
    //!                   entry remains a peer as long as any claim that it
    //!                   granted is valid.
    entry_peers(std::string own, duration retention, clock_hook now);

    //! Adds the entries of a list from a replica of control; ignores an empty
    //! list.
    //! @param in_touch  whether a majority of control answers this entry. If
    //!                  not, entries that the list lacks are kept.
    void learn(const std::vector<member>& entries, bool in_touch);

    //! @return what has changed since the last call, for the log.
    std::vector<peer_change> take_changes();

    //! @return the entries that joined and that all others count since the last
    //! call, for the log.
    std::vector<counted_entry> take_counted();

    //! @return the request with what it tells of the entries counted here.
    claim_request tell_entries(const claim_request& request) const;

    //! @return a vote of the replica here, with what the holder needs to know
    //! of the entries counted here.
    //! @param groups  returns those that this entry would ask.
    claim_vote tell_entries(
        const claim_vote& vote, const claim_request& asked,
        const std::function<std::vector<replica_group>(const submission_id&)>&
            groups);

    //! Notes which entries a replica counts, by its vote on a request that
    //! tell_entries() made.
    //! @return the groups that the claim needs as well, since they contain
    //! entries that others may not know, or that this one doesn't know.
    std::vector<replica_group> note_vote(const endpoint& replica,
                                         const claim_request& asked,
                                         const claim_vote& vote);

    //! @return the addresses at which the other entries accept claims.
    std::vector<endpoint> current();

    //! @return the other entries as ledger replicas. A replica is fresh while
    //! claims that were made without it, before control listed it to every
    //! entry, may still be valid. While this entry is new, the ones that were
    //! there before are marked as older.
    std::vector<ledger_peer> replicas();

    //! @return whether control has ceased to list this process of an entry. The
    //! entry may go on by an old view, and ask another group than the others.
    bool is_unlisted(const entry_id& entry, incarnation run);

    //! @return the processes of removed entries that are still refused.
    std::size_t removed_count() const;

    //! Notes which entries a peer knows as established. A peer whose process
    //! has ended knows none, and what it named before is forgotten.
    //! If a peer names none since it is new itself, what its earlier process
    //! named is kept.
    //! @param listed_for  time since the peer's first list; 0 if unknown.
    void learn_established(const endpoint& peer,
                           const std::vector<endpoint>& established,
                           duration listed_for = {});

    //! Notes a peer's answer, if it tells anything.
    void take_answer(const endpoint& peer,
                     const std::optional<held_claims>& answer);

    //! @return the peers to ask, once a period, which entries they know as
    //! established: all while this entry is new; then a few of those that are
    //! not known to count this one or those that joined, if any.
    std::vector<endpoint> to_ask_for_established();

    //! @return this entry and the others that have not joined recently; none
    //! while this one is new itself, unless the whole fleet is.
    std::vector<endpoint> established();

    //! @return the answer to a peer's question with what this entry knows of
    //! the entries.
    held_claims with_entries(held_claims answer);

    //! @return the time since the first list; 0 before it.
    duration listed_for() const;

    //! @return whether control has listed any entry, this one included.
    bool known() const;

private:
    struct listed_entry
    {
        std::string id;
        incarnation run;
        domain_id domain;
        instant first_listed{};
        instant last_listed{};
        //! Joined after the first lists; not all others are known to count it.
        bool joined = false;
        //! Since when the others count it, if it joined.
        std::map<endpoint, instant> counted_since;
        std::shared_ptr<const std::set<endpoint>> counted_by;
    };

    //! A process that was removed and may go on by an old view.
    struct removed_entry
    {
        incarnation run;
        instant last_asked{}; //!< or removed
        endpoint address;
        instant removed_at{};
    };

    // entry_peers_counted.cpp
    void note_joined(const endpoint& address, instant now);
    void forget_counted(const endpoint& replica);
    void forget_word(const endpoint& replica);
    std::optional<duration> counted_all_for(instant now) const;
    void update_counted(instant now);
    void update_own(instant now);
    bool counts_self(const endpoint& replica, instant now) const;
    bool was_removed(const endpoint& address, instant now) const;
    bool is_of_use(const std::vector<endpoint>& group, instant now) const;
    replica_group as_group(const std::vector<endpoint>& members,
                           instant now) const;
    bool is_joining() const;
    std::vector<endpoint> not_told() const;
    void note_counted(const endpoint& replica, instant since);
    void note_earlier_version(const endpoint& replica);

    void note_list(instant now);
    void forget_ended(instant now);
    void remove_unlisted();
    bool is_new(instant now) const;
    bool is_told_established(const endpoint& address) const;
    bool keeps_its_place() const;
    bool started_with_fleet(instant now) const;
    std::optional<instant> earlier_start() const;
    bool misses_lists(const listed_entry& it) const;
    bool is_fresh(const listed_entry& it, instant now) const;
    bool is_older(const endpoint& address, const listed_entry& it) const;

    const std::string own_;
    const duration retention_;
    const clock_hook now_;

    mutable std::mutex mutex_;
    std::optional<instant> first_list_time_; //!< empty before the first list
    instant last_list_time_{}; //!< of those received in touch with control
    std::map<endpoint, listed_entry> entries_;
    std::map<std::string, removed_entry> removed_; //!< no longer in entries_
    std::vector<peer_change> changes_;             //!< not yet taken
    //! What each peer has told; empty for one that is new itself.
    std::map<endpoint, std::vector<endpoint>> established_at_;
    //! First lists of the peers that are new themselves and told when it was.
    std::map<endpoint, instant> first_lists_;
    entries_digest digest_;      //!< of this entry and entries_
    instant last_joined_{};      //!< when this entry last heard of another one
    instant last_count_{};       //!< when it was worked out who is counted
    bool counted_itself_ = true; //!< whether all older ones count this one
    std::map<endpoint, instant> own_counted_since_; //!< by the others
    std::vector<counted_entry> newly_counted_;      //!< not yet taken
};

} // namespace lagoonquay
