//! What an entry's process has of the listed ledger, shared by its sources.
#pragma once

#include "listed_ledger.hpp"

#include "lagoonquay/process/delivered_reaches.hpp"
#include "lagoonquay/process/ended_replicas.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/latency_estimator.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/unresponsive_replicas.hpp"

namespace lagoonquay
{

// The fleet reads the number of an entry from its address, from the seventh
// character on.
inline endpoint entry_address(std::size_t entry)
{
    return {"10.10." + std::to_string(entry) + ".1", 1};
}

inline std::size_t entry_number(const endpoint& address)
{
    return std::stoul(address.address.substr(6));
}

//! Lives as long as one process of an entry.
struct listed_ledger::host
{
    std::size_t number = 0;
    process_pointer process;
    instant started_at{};
    bool began_anew = false; //!< control still listed the earlier process
    instant ended_at{};
    instant expired_at{};
    std::unique_ptr<ledger_replica> replica;
    std::unique_ptr<entry_peers> peers;
    std::optional<record_scope> scope; //!< of the records that it takes over
    std::unique_ptr<ledger_recovery> recovery;
    delivered_reaches reaches;
    unresponsive_replicas unresponsive;
    ended_replicas ended;
    latency_estimator response_times{{}};
    incarnation run;
    instant heard{}; //!< when control last heard of the entry
};

} // namespace lagoonquay
