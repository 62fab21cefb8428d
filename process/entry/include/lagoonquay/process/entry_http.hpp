//! HTTP routes of an entry: callers, other entries and operators.
#pragma once

#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/request/job_codec.hpp"

namespace lagoonquay
{

class http_client;
class ledger_replica;
class latency_statistics;
class traffic_meter;

//! @return the routes for callers; `answers` counts the time from a
//! submission to its answer. Both must outlive the handler.
http_handler caller_routes(entry_service& service, const job_limits& limits,
                           latency_statistics& answers);

//! @return the routes for other entries. Both must outlive the handler.
http_handler peer_routes(entry_service& service, ledger_replica& ledger,
                         const job_limits& limits);

//! @return a replica's response to the body of a claim.
http_response claim_response(ledger_replica& ledger, const std::string& body);

//! @return the routes for operators. All must outlive the handler.
http_handler entry_operator_routes(entry_service& service,
                                   const latency_statistics& answers,
                                   traffic_meter& traffic);

//! Asks another entry for the claims that it holds. The client must outlive
//! the answer.
void ask_held_claims(http_client& client, const endpoint& peer,
                     const held_claims_hook& done);

//! @return a hook that hands jobs to other entries over HTTP.
forward_hook forward_over_http(http_client& client);

} // namespace lagoonquay
