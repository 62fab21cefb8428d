//! Messages between control replicas over HTTP.
#pragma once

#include "lagoonquay/process/control_replica.hpp"

#include <functional>
#include <memory>
#include <string>

namespace lagoonquay
{

class http_client;

//! Gets the answer of a replica that was greeted.
using greeting_hook = std::function<void(const replica_greeting&)>;

//! Sends to each address one batch at a time; what gathers meanwhile goes
//! into the next. Loses messages to an address that does not answer.
//! Thread-safe.
class replica_transport
{
public:
    //! @param address  where this replica gets the others' messages.
    //! @param token    bearer token for commands that are passed on.
    //! The client must outlive this object and its pending requests.
    replica_transport(http_client& client, std::string address,
                      std::string token);
    ~replica_transport();
    replica_transport(const replica_transport&) = delete;
    replica_transport& operator=(const replica_transport&) = delete;

    void send(const std::string& address, const replica_message& message);
    void greet(const std::string& address, const replica_greeting& greeting,
               const greeting_hook& answered);
    void forward(const std::string& address, const command& asked,
                 const answer_hook& done);

private:
    struct shared;
    std::shared_ptr<shared> shared_;
};

} // namespace lagoonquay
