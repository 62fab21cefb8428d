#include "lagoonquay/process/control_service.hpp"

#include "control_dump.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr duration forget_period = std::chrono::milliseconds(100);

void log_member(const member_options& it, std::string_view event)
{
    write_event(log_level::info, "members", {}, event,
                {{"member", it.id},
                 {"role", it.role == member_role::agent ? "agent" : "entry"},
                 {"domain", it.domain.text()},
                 {"address", it.address}});
}

// The operators' document is for operators, and agents serve no callers.
fleet_view view_for(member_role role, const fleet_view& all)
{
    queue_catalog_options kept;
    kept.revision = all->catalog->revision;
    if (role == member_role::entry)
    {
        kept.queues = all->catalog->queues;
        kept.services = all->catalog->services;
    }
    const queue_catalog catalog(std::move(kept));
    return all.with([&](fleet_view_options& it) { it.catalog = catalog; });
}

} // namespace

control_service::control_service(control_options options,
                                 control_replica& replica, clock_hook now)
    : options_(options), replica_(replica), now_(std::move(now)),
      members_(options.life)
{
}

// Members are noted also while this replica does not vote, so that operators
// see them.
permit_reply control_service::on_heartbeat(const permit_request& request)
{
    const auto& sender = request.sender;
    if (members_.note({sender, request.known}, now_()))
        log_member(*sender, "member_seen");
    permit_reply reply;
    reply.vote = replica_.vote(request.known);
    if (reply.vote && reply.vote->view)
    {
        auto& view = reply.vote->view;
        view = request.wants_view ? std::optional(view_for(sender->role, *view))
                                  : std::nullopt;
    }
    if (auto replicas = replica_.replicas();
        request.known_replicas < replicas.index)
        reply.replicas = std::move(replicas);
    if (sender->role != member_role::entry)
        return reply;
    forget_silent();
    reply.members = members_.since(request.known_members);
    return reply;
}

void control_service::propose(const command& asked, bool may_forward,
                              const answer_hook& done)
{
    replica_.propose(asked, may_forward, done);
}

fleet_view control_service::view() const
{
    return replica_.view();
}

std::vector<member_report> control_service::members()
{
    forget_silent();
    return members_.reports();
}

void control_service::forget_silent()
{
    const auto now = now_();
    {
        const std::lock_guard lock(forget_mutex_);
        if (forgotten_ && now - *forgotten_ < forget_period)
            return;
        forgotten_ = now;
    }
    for (const auto& it : members_.forget_silent(options_.member_silence, now))
        log_member(*it, "member_lost");
}

std::string control_service::dump()
{
    return dump_control(replica_.state(), members());
}

control_replica& control_service::replica() noexcept
{
    return replica_;
}

} // namespace lagoonquay
