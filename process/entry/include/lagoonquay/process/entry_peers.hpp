//! The other entries of the fleet, as control names them.
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

//! Remembers entries for a while after lists cease to name them. Thread-safe.
class entry_peers
{
public:
    //! @param own   this entry's address, which is left out.
    //! @param keep  longer than a claim holds: a claim that was granted by an
    //!              entry then never outlives its place among the peers.
    entry_peers(std::string own, duration keep, clock_hook now);

    void learn(const std::vector<member>& entries);

    //! @return where the others take claims.
    std::vector<endpoint> current();

    //! @return the others as ledger replicas.
    std::vector<ledger_peer> replicas();

    //! @return whether control has named any entry, this one included.
    bool known() const;

private:
    struct known_entry
    {
        domain_id domain;
        instant first_named{};
        instant named{};
    };

    void forget_unnamed();

    const std::string own_;
    const duration keep_;
    const clock_hook now_;

    mutable std::mutex mutex_;
    std::optional<instant> learned_; //!< when entries were named first
    instant newest_list_{};          //!< when entries were named last
    std::map<endpoint, known_entry> entries_;
};

} // namespace lagoonquay
