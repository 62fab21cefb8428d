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
    //! Replicas to ask first, and whenever the known ones give no permit.
    std::vector<endpoint> replicas;
    duration timeout = std::chrono::milliseconds(900);
};

//! What a permit client needs from outside.
struct permit_client_hooks
{
    clock_hook now;
    std::function<member()> self;
    std::function<fleet_view()> known; //!< the newest applied view
    std::function<void(const permit&)> set_permit;
    //! A majority has answered, perhaps without the view that a permit needs;
    //! may be empty.
    std::function<void()> heard;
    //! Hears of the agents and the entries of the fleet; may be empty.
    std::function<void(const std::vector<member>& agents,
                       const std::vector<member>& entries)>
        learn;
};

//! Asks every replica for its vote in rounds, and one of them for the newest
//! view when a vote tells of one. Follows the replicas as they are replaced.
//! Thread-safe.
class permit_client
{
public:
    //! The client must outlive this object and its pending requests.
    permit_client(http_client& client, const permit_client_options& options,
                  permit_client_hooks hooks);
    ~permit_client();
    permit_client(const permit_client&) = delete;
    permit_client& operator=(const permit_client&) = delete;

    //! Period of tick().
    static constexpr duration tick_period = std::chrono::milliseconds(100);

    //! Sends one heartbeat to every replica if a round is due.
    void tick();

    //! Replaces the replicas to ask first.
    void set_replicas(std::vector<endpoint> replicas);

private:
    class exchanges;
    const std::shared_ptr<exchanges> exchanges_;
};

} // namespace lagoonquay
