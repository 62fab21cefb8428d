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

struct ledger_client_options
{
    ledger_peers_hook peers;
    duration timeout = std::chrono::milliseconds(500);
};

//! @return a hook that asks the local replica and its peers.
//! All of them must outlive the hook.
claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now);

} // namespace lagoonquay
