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

fleet_view with_catalog(const fleet_view& all, queue_catalog_options catalog)
{
    return all.with([&](fleet_view_options& it)
                    { it.catalog = queue_catalog(std::move(catalog)); });
}

fleet_view without_queues(const fleet_view& all)
{
    return with_catalog(all, {.revision = all->catalog->revision,
                              .queues = {},
                              .services = {},
                              .source = {}});
}

// The operators' document is for operators.
fleet_view without_source(const fleet_view& all)
{
    auto catalog = *all->catalog;
    catalog.source.clear();
    return with_catalog(all, std::move(catalog));
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
        fit_view(request, reply);
    if (auto replicas = replica_.replicas();
        request.known_replicas < replicas.index)
        reply.replicas = std::move(replicas);
    if (sender->role != member_role::entry)
        return reply;
    forget_silent();
    reply.members = members_.since(request.known_members);
    return reply;
}

// Agents serve no callers, and need no queues.
void control_service::fit_view(const permit_request& request,
                               permit_reply& reply)
{
    auto& view = reply.vote->view;
    const auto catalog = (*view)->catalog;
    catalogs_.note(catalog);
    if (!request.wants_view)
        return view.reset();
    const bool entry = request.sender->role == member_role::entry;
    const auto known = catalogs_.find(request.known_queues);
    if (entry && known)
        reply.queue_changes = changes_between(*known, catalog);
    view = entry && !known ? without_source(*view) : without_queues(*view);
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
