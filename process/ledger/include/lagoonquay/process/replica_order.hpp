//! The order in which ledger replicas are asked about a submission.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/time.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace lagoonquay
{

//! Orders replicas by the submission, so that all entries ask the same ones
//! first. Those that did not answer lately come last. Thread-safe.
class replica_order
{
public:
    //! @return the replicas, first to ask first.
    std::vector<endpoint> arrange(const submission_id& submission,
                                  const std::vector<endpoint>& replicas,
                                  instant now) const;

    //! Notes that a replica gave no answer in time, or none at all.
    void note_silent(const endpoint& replica, instant now);
    void note_heard(const endpoint& replica);

private:
    bool silent(const endpoint& replica, instant now) const;

    mutable std::mutex mutex_;
    std::map<endpoint, instant> silent_since_;
};

} // namespace lagoonquay
