#include "lone_control.hpp"

#include <chrono>
#include <thread>

namespace lagoonquay
{

namespace
{

constexpr auto storage_poll = std::chrono::milliseconds(1);
const node_id self("control-1-node");
const replica_id name("control-1");
constexpr cluster_number cluster(1);

//! @return a log whose first entry makes this node the only voter.
stored_log first_log()
{
    const membership alone({.members = {{self, name, "127.0.0.1:1", true}}});
    return {{cluster, term_number(1), std::nullopt},
            nullptr,
            {{log_index(1), term_number(1), alone}}};
}

} // namespace

lone_control::lone_control()
    : replica_({.name = name, .address = "127.0.0.1:1"}, hooks(), self,
               first_log()),
      service_({}, replica_,
               [this] { return instant(duration(now_us_.load())); })
{
    const permit_request asked{
        member({.role = member_role::agent, .id = "agent-0"}), {}};
    while (!service_.on_heartbeat(asked).vote)
    {
        now_us_ += control_replica::tick_period.count();
        replica_.tick();
        std::this_thread::sleep_for(storage_poll);
    }
}

control_service& lone_control::service() noexcept
{
    return service_;
}

control_replica_hooks lone_control::hooks()
{
    control_replica_hooks given;
    given.now = [this]
    {
        return instant(duration(now_us_.load()));
    };
    given.draw = [](std::uint32_t)
    {
        return 0U;
    };
    given.draw_cluster = []
    {
        return cluster;
    };
    given.store = [](const std::vector<log_write>&) -> process_result<void>
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    };
    given.send = [](const std::string&, const replica_message&) {
    };
    given.greet = [](const std::string&, const replica_greeting&) {
    };
    given.forward = [](const std::string&, const command&, const answer_hook&) {
    };
    return given;
}

} // namespace lagoonquay
