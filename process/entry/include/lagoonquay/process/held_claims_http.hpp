//! Claims that an entry holds, told to a younger ledger replica over HTTP.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/process/refused_connection.hpp"

namespace lagoonquay
{

//! @return the claims in the form that the request asks for, or 400.
http_response held_claims_response(const http_request& request,
                                   const held_claims& held);

//! Requests the claims that another entry holds. Reports a peer that refuses
//! the connection as gone if `refusal_proves_end`, and nothing after another
//! error or a timeout. What `send` uses and `known` must outlive the call of
//! `done`.
//! @param known  reaches of earlier answers, which need not be told again.
void request_held_claims(const http_send_hook& send, const endpoint& peer,
                         known_reaches& known,
                         const refusal_proof_hook& refusal_proves_end,
                         const held_claims_hook& done);

//! Requests only which entries another one knows as established, as above. One
//! of an earlier version doesn't know the request: nothing is reported.
void request_established(http_client& client, const endpoint& peer,
                         const refusal_proof_hook& refusal_proves_end,
                         const held_claims_hook& done);

} // namespace lagoonquay
