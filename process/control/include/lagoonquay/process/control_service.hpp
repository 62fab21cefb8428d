//! One control replica as members and operators see it.
#pragma once

#include "lagoonquay/process/control_replica.hpp"
#include "lagoonquay/process/member_table.hpp"
#include "lagoonquay/process/recent_catalogs.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

struct control_options
{
    //! A member that is silent for longer is no longer named to others.
    duration member_silence = std::chrono::seconds(3);
    incarnation life; //!< of the replica's process

    friend bool operator==(const control_options&,
                           const control_options&) = default;
};

//! Answers heartbeats and commands. Thread-safe.
class control_service
{
public:
    //! The replica must outlive the service.
    control_service(control_options options, control_replica& replica,
                    clock_hook now);

    //! Answers a heartbeat, with this replica's vote if it may give one.
    permit_reply on_heartbeat(const permit_request& request);

    //! Replicates and applies a command; see control_replica::propose().
    void propose(const command& asked, bool may_forward,
                 const answer_hook& done);

    fleet_view view() const;

    //! @return the members heard of lately.
    std::vector<member_report> members();

    //! @return the whole state as JSON.
    std::string dump();

    //! The replica behind this service.
    control_replica& replica() noexcept;

private:
    void forget_silent();
    void fit_view(const permit_request& request, permit_reply& reply);

    const control_options options_;
    control_replica& replica_;
    const clock_hook now_;
    member_table members_;
    recent_catalogs catalogs_;

    std::mutex forget_mutex_;
    std::optional<instant> forgotten_; //!< when silent members were looked for
};

} // namespace lagoonquay
