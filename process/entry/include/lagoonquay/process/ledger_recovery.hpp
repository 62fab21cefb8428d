//! Fills the memory of a ledger replica that has just started from the claims
//! that other entries hold.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/ledger_shard.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

struct ledger_recovery_options
{
    //! Time from the start of this process in which the runs of entries that
    //! died before it have ended.
    duration settle = std::chrono::milliseconds(1500);

    friend bool operator==(const ledger_recovery_options&,
                           const ledger_recovery_options&) = default;
};

//! What another entry said about its claims.
struct held_claims
{
    //! The peer's process is gone, so that it holds none.
    bool gone = false;
    std::vector<claim_request> claims;

    friend bool operator==(const held_claims&, const held_claims&) = default;
};

//! Gets the claims once, or nothing if the peer did not answer.
using held_claims_hook = std::function<void(const std::optional<held_claims>&)>;

struct ledger_recovery_hooks
{
    clock_hook now;
    //! The other entries, or nothing while control has not named any members.
    std::function<std::optional<std::vector<endpoint>>()> peers;
    std::function<void(const endpoint&, held_claims_hook)> ask;
    std::function<void(const claim_request&)> remember;
    //! Every live claim is remembered. Called once.
    std::function<void()> done;
};

//! Asks each peer until all have answered. Thread-safe.
class ledger_recovery
{
public:
    ledger_recovery(ledger_recovery_options options,
                    ledger_recovery_hooks hooks);

    //! Call a few times a second.
    void tick();

private:
    void on_answer(const endpoint& peer,
                   const std::optional<held_claims>& answer);
    bool complete(const std::vector<endpoint>& peers) const;

    const ledger_recovery_options options_;
    const ledger_recovery_hooks hooks_;
    const instant began_;

    mutable std::mutex mutex_;
    std::set<endpoint> asked_; //!< no answer yet
    std::set<endpoint> answered_;
    bool done_ = false;
};

} // namespace lagoonquay
