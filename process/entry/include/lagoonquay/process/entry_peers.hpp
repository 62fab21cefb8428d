//! The other entries of the fleet, as control names them.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/version/member.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Remembers entries for a while after they were last named. Thread-safe.
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

    //! @return whether control has named any entry, this one included.
    bool known() const;

private:
    const std::string own_;
    const duration keep_;
    const clock_hook now_;

    mutable std::mutex mutex_;
    bool known_ = false;
    std::map<endpoint, instant> named_;
};

} // namespace lagoonquay
