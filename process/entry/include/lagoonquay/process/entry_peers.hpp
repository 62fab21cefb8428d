//! The other entries of the fleet, from the lists that control sends.
#pragma once

#include "lagoonquay/process/replica_group.hpp"
#include "lagoonquay/version/member.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

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

    //! @return the addresses at which the other entries accept claims.
    std::vector<endpoint> current();

    //! @return the other entries as ledger replicas. A replica is fresh while
    //! claims that were made without it, before control listed it to every
    //! entry, may still be valid.
    std::vector<ledger_peer> replicas();

    //! @return whether control has listed any entry, this one included.
    bool known() const;

private:
    struct listed_entry
    {
        domain_id domain;
        instant first_listed{};
        instant last_listed{};
    };

    void remove_unlisted();

    const std::string own_;
    const duration retention_;
    const clock_hook now_;

    mutable std::mutex mutex_;
    std::optional<instant> first_list_time_; //!< empty before the first list
    instant last_list_time_{}; //!< of those received in touch with control
    std::map<endpoint, listed_entry> entries_;
};

} // namespace lagoonquay
