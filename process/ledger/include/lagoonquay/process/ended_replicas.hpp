//! Ledger replicas whose process has ended, and since when that is known.
#pragma once

#include "lagoonquay/process/claim_quorum.hpp"

#include <map>
#include <mutex>

namespace lagoonquay
{

//! Records when replicas were first found gone. A replica that is not found
//! gone again within three seconds counts as found anew. Thread-safe.
class ended_replicas
{
public:
    //! Records the answer of a replica.
    //! @return the answer; `gone_since` is set if the replica is gone.
    claim_answer note(const endpoint& replica, claim_answer answer,
                      instant now);

private:
    struct sight
    {
        instant first{};
        instant last{};
    };

    std::mutex mutex_;
    std::map<endpoint, sight> ended_;
};

} // namespace lagoonquay
