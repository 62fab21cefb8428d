//! Sends an entry's claims to individual replicas. Private to the ledger.
#pragma once

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/delivered_reaches.hpp"
#include "lagoonquay/process/refused_connection.hpp"

#include <memory>

namespace lagoonquay
{

using claim_answer_hook = std::function<void(const claim_answer&)>;

//! Sends claims and keeps track of the reaches that each replica has received.
//! Thread-safe.
class claim_sender : public std::enable_shared_from_this<claim_sender>
{
public:
    //! @param timeout  of a request to one replica.
    //! @param refusal_proves_end  if absent, a refused connection always shows
    //!                            that the replica's process has ended.
    claim_sender(http_client& client, duration timeout,
                 refusal_proof_hook refusal_proves_end) noexcept;

    //! @return the request with the number of its reach filled in.
    claim_request assign_reach_number(const claim_request& request);

    //! Sends a claim whose reach has a number. The reach itself is omitted if
    //! the replica has received it before; if the replica answers that it is
    //! unknown, the claim is sent again with the reach.
    //! @param done  called once with the answer, from any thread.
    void send(const endpoint& replica, const claim_request& request,
              const claim_answer_hook& done);

private:
    claim_answer read_answer(const connection_result<http_response>& it) const;

    http_client& client_;
    const duration timeout_;
    const refusal_proof_hook refusal_proves_end_;
    delivered_reaches sent_reaches_;
};

} // namespace lagoonquay
