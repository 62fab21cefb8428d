//! Heartbeats to the control replicas and the permits they bring.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/version/member.hpp"
#include "lagoonquay/version/permit.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace lagoonquay
{

class http_client;

struct permit_client_options
{
    std::vector<endpoint> replicas;
    duration timeout = std::chrono::milliseconds(900);
};

//! What a permit client needs from outside.
struct permit_client_hooks
{
    clock_hook now;
    std::function<member()> self;
    std::function<fleet_view()> known; //!< the newest applied view
    std::function<void(const permit&)> hold;
    std::function<void(const std::vector<member>&)> learn; //!< agents
};

//! Asks every replica once per call of tick(). Thread-safe.
class permit_client
{
public:
    //! The client must outlive this object and its pending requests.
    permit_client(http_client& client, permit_client_options options,
                  permit_client_hooks hooks);
    ~permit_client();
    permit_client(const permit_client&) = delete;
    permit_client& operator=(const permit_client&) = delete;

    //! Sends one heartbeat to every replica. Call about twice a second.
    void tick();

private:
    http_client& client_;
    const permit_client_options options_;
    const std::shared_ptr<const permit_client_hooks> hooks_;
};

} // namespace lagoonquay
