//! Takeover of a ledger replica's records by a younger one, over HTTP.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/process/refused_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonquay
{

class ledger_replica;

//! Records after which a page ends with its shard; each takes about 0.1 kB.
constexpr std::size_t max_page_records = 150;

//! @param first_shard  number of the first shard to tell, as text.
//! @return the records of some shards, or 400 if `first_shard` is no number.
http_response
ledger_records_response(ledger_replica& ledger, const http_request& request,
                        std::string_view first_shard,
                        std::size_t max_records = max_page_records);

//! Requests a page of another entry's records, from a shard on. Reports a peer
//! that refuses the connection as gone if `refusal_proves_end`, one that
//! doesn't know the request as without records, and nothing after another
//! error or a timeout. What `send` uses and `known` must outlive the call of
//! `done`.
//! @param known  reaches of earlier answers, which need not be told again.
void request_ledger_records(const http_send_hook& send, const endpoint& peer,
                            const record_scope& scope,
                            std::uint64_t first_shard, known_reaches& known,
                            const refusal_proof_hook& refusal_proves_end,
                            const peer_records_hook& done);

} // namespace lagoonquay
