//! Ledger replicas that did not answer lately.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/time.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace lagoonquay
{

//! Remembers for a while which replicas were silent. Thread-safe.
class silent_replicas
{
public:
    //! Notes that a replica gave no answer in time, or none at all.
    void note_silent(const endpoint& replica, instant now);
    void note_heard(const endpoint& replica);

    //! @return the replicas in their order, but the silent ones last.
    std::vector<endpoint> put_last(std::vector<endpoint> replicas,
                                   instant now) const;

private:
    mutable std::mutex mutex_;
    std::map<endpoint, instant> since_;
};

} // namespace lagoonquay
