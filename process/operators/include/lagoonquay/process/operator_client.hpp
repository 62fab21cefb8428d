//! Operators' side of the control replicas: commands and the fleet's state.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/process/operator_codec.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/command.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! What can go wrong between an operator and the replicas.
enum class operator_errc
{
    unreachable,  //!< no replica took the request; a command may have applied
    unauthorized, //!< the bearer token is missing or wrong
    rejected,     //!< a replica found the request not valid; nothing applied
    bad_answer,   //!< the answer is not decodable; the command was received
};

template <typename T>
using operator_result = layer_result<T, operator_errc>;

//! Sends one request and blocks until its answer or error.
using blocking_send_hook = std::function<connection_result<http_response>(
    const endpoint&, const http_request&)>;

//! Blocks for the given time.
using pause_hook = std::function<void(duration)>;

struct operator_hooks
{
    blocking_send_hook send;
    pause_hook pause;
};

struct operator_client_options
{
    std::vector<endpoint> replicas; //!< operators' listeners of all replicas
    std::string bearer;
    std::size_t rounds = 20; //!< tries of each replica before giving up
    duration round_pause = std::chrono::milliseconds(250);

    friend bool operator==(const operator_client_options&,
                           const operator_client_options&) = default;
};

//! What the replicas that answered say together.
struct fleet_status
{
    std::size_t replicas = 0; //!< asked
    std::vector<replica_status> answered;

    //! @return the newest view among the replicas that answered.
    fleet_view view() const;

    //! @return every member that some replica has heard of, by id.
    std::vector<member_status> members() const;

    //! @return whether the answers include every committed change.
    bool has_quorum() const noexcept;

    friend bool operator==(const fleet_status&, const fleet_status&) = default;
};

//! Finds a slip of the pen in a command that takes something out of service.
//! @return a sentence if no member that the replicas know of is meant.
std::optional<std::string> unknown_target(const fleet_status& status,
                                          const change& what);

//! Asks the control replicas. Not thread-safe.
class operator_client
{
public:
    operator_client(operator_client_options options, operator_hooks hooks);

    //! Sends a command until a replica answers it. The id makes each resend
    //! harmless.
    //! @return the answer, accepted or not; or any operator_errc.
    operator_result<command_reply> run(const command& asked);

    //! Asks every replica once.
    //! @return what was heard; unreachable if no replica answered.
    operator_result<fleet_status> status();

    //! @return the state dump of the process at `target`, as JSON.
    operator_result<std::string> dump(const endpoint& target);

private:
    std::vector<endpoint> next_round();
    operator_result<std::string> get(const endpoint& target,
                                     const std::string& path);

    const operator_client_options options_;
    const operator_hooks hooks_;
    std::optional<endpoint> leader_;
};

} // namespace lagoonquay
