//! Fills the memory of a ledger replica that has just started from the claims
//! that other entries hold.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/held_claims.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

struct ledger_recovery_options
{
    //! Time after the end of an entry in which its runs have ended.
    duration settle = std::chrono::milliseconds(1500);
    //! Time in which every entry and agent that lives is named by control.
    duration naming = std::chrono::milliseconds(700);

    friend bool operator==(const ledger_recovery_options&,
                           const ledger_recovery_options&) = default;
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
    //! @return whether every agent says that no run of an entry that is gone
    //! is left.
    std::function<bool()> none_stray;
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
    bool settled(const std::vector<endpoint>& peers) const;

    const ledger_recovery_options options_;
    const ledger_recovery_hooks hooks_;

    const instant began_;

    mutable std::mutex mutex_;
    instant ended_; //!< when the last entry that is known to be gone had ended
    std::set<endpoint> asked_; //!< no answer yet
    std::set<endpoint> answered_;
    std::set<endpoint> settled_; //!< of these, whose old runs have ended
    bool done_ = false;
};

} // namespace lagoonquay
