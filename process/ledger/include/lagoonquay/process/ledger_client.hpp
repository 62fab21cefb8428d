//! Claims through the ledger replicas of other entries.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/claim.hpp"

#include <functional>
#include <vector>

namespace lagoonquay
{

class http_client;
class ledger_replica;

//! Names the other replicas of the ledger. Called from any thread.
using ledger_peers_hook = std::function<std::vector<endpoint>()>;

//! Runs work once after a delay, on any thread.
using delay_hook = std::function<void(duration, std::function<void()>)>;

struct ledger_client_options
{
    ledger_peers_hook peers;
    delay_hook after; //!< without it only an answer brings others in
    duration timeout = std::chrono::milliseconds(500);
    //! Replicas that take longer than this are passed over.
    duration patience = std::chrono::milliseconds(60);
};

//! @return a hook that asks the local replica and as many peers as decide.
//! All of them must outlive the hook.
claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now);

} // namespace lagoonquay
