//! A control replica that is the only voter, without disk or network.
#pragma once

#include "lagoonquay/process/control_replica.hpp"
#include "lagoonquay/process/control_service.hpp"

#include <atomic>
#include <cstdint>

namespace lagoonquay
{

//! Leads and votes from its construction on. Its clock stands still then.
class lone_control
{
public:
    lone_control();

    control_service& service() noexcept;

private:
    control_replica_hooks hooks();

    std::atomic<std::int64_t> now_us_{1};
    control_replica replica_;
    control_service service_;
};

} // namespace lagoonquay
