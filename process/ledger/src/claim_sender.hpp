//! Sends an entry's claims to single replicas. Private to the ledger.
#pragma once

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/claim_poll.hpp"
#include "lagoonquay/process/told_reaches.hpp"

#include <memory>

namespace lagoonquay
{

using claim_answer_hook = std::function<void(const claim_answer&)>;

//! What all claims of an entry share. Thread-safe.
class claim_sender : public std::enable_shared_from_this<claim_sender>
{
public:
    claim_sender(http_client& client, duration timeout) noexcept;

    //! @return the claim with the number of its reach.
    claim_request name(const claim_request& asked);

    //! Sends a named claim. The agents are left out where they were told
    //! before; a replica that does not know them is told them.
    void send(const endpoint& replica, const claim_request& named,
              const claim_answer_hook& done);

private:
    http_client& client_;
    const duration timeout_;
    told_reaches reaches_;
};

} // namespace lagoonquay
