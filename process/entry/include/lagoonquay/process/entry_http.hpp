//! HTTP routes of an entry: callers, other entries and operators.
#pragma once

#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/ledger_client.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/process/refused_connection.hpp"
#include "lagoonquay/request/job_codec.hpp"

namespace lagoonquay
{

class entry_peers;
class http_client;
class ledger_replica;
class latency_statistics;
class traffic_meter;

//! @param answers  records the time from each submission to its answer.
//! @return the routes for callers. The service and `answers` must outlive the
//! handler.
http_handler caller_routes(entry_service& service, const job_limits& limits,
                           latency_statistics& answers);

//! @param groups  returns the groups that this entry would ask.
//! @return the routes for other entries. The service, ledger and peers must
//! outlive the handler.
http_handler peer_routes(entry_service& service, ledger_replica& ledger,
                         entry_peers& peers, const replica_groups_hook& groups,
                         const job_limits& limits);

//! @return whether control has ceased to list this process of an entry.
using unlisted_hook = std::function<bool(const entry_id&, incarnation)>;

//! Adds to a vote what it tells of the entries that this one counts.
using vote_hook =
    std::function<claim_vote(const claim_vote&, const claim_request&)>;

//! @return the replica's vote on the claim request in `body`, 400 if the body
//! can't be decoded, or 503 without a vote if the holder is unlisted.
http_response claim_response(ledger_replica& ledger, const std::string& body,
                             const unlisted_hook& is_unlisted = {},
                             const vote_hook& tell_entries = {});

//! @return the routes for operators. All arguments must outlive the handler.
http_handler entry_operator_routes(entry_service& service,
                                   const latency_statistics& answers,
                                   traffic_meter& traffic);

//! @return a hook that cancels jobs at other entries over HTTP. The client must
//! outlive the hook.
cancel_hook cancel_over_http(http_client& client);

//! @return a hook that forwards jobs to other entries over HTTP, and passes
//! their answer on, or nothing if none arrives within the job's time limit. The
//! client must outlive the hook.
forward_hook forward_over_http(http_client& client);

} // namespace lagoonquay
