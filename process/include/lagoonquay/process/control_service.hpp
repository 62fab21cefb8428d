//! One control replica: the fleet's state, its members and permit votes.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/version/command.hpp"
#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/member.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Gets the outcome of a command once it is committed, or the error.
using outcome_hook = std::function<void(version_result<command_outcome>)>;

struct control_options
{
    replica_id id;
    //! A member that is silent for longer is no longer named to others.
    duration member_silence = std::chrono::seconds(3);

    friend bool operator==(const control_options&,
                           const control_options&) = default;
};

//! Answers heartbeats and commands. Thread-safe.
class control_service
{
public:
    control_service(control_options options, clock_hook now);

    //! Answers a heartbeat with this replica's vote.
    permit_reply on_heartbeat(const permit_request& request);

    //! Replicates and applies a command.
    void propose(const command& asked, const outcome_hook& done);

    fleet_view view() const;

    //! @return the members heard of lately.
    std::vector<member> members();

    //! @return the whole state as JSON.
    std::string dump();

private:
    struct known_member
    {
        member about;
        instant heard{};
    };

    const control_options options_;
    const clock_hook now_;

    mutable std::mutex state_mutex_;
    fleet_state state_;

    sharded_map<std::string, known_member> members_;
};

} // namespace lagoonquay
