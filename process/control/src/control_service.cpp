#include "lagoonquay/process/control_service.hpp"

#include "control_dump.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

void log_member(const member_options& it, std::string_view event)
{
    write_event(log_level::info, "members", {}, event,
                {{"member", it.id},
                 {"role", it.role == member_role::agent ? "agent" : "entry"},
                 {"domain", it.domain.text()},
                 {"address", it.address}});
}

} // namespace

control_service::control_service(control_options options,
                                 control_replica& replica, clock_hook now)
    : options_(options), replica_(replica), now_(std::move(now))
{
}

// Members are noted also while this replica does not vote, so that operators
// see them.
permit_reply control_service::on_heartbeat(const permit_request& request)
{
    const auto& sender = request.sender;
    bool fresh = false;
    members_.with_shard(
        sender->id,
        [&](auto& values)
        {
            const auto found = values.find(sender->id);
            fresh = found == values.end() ||
                    found->second.report.about->run != sender->run;
            values.insert_or_assign(
                sender->id, known_member{{sender, request.known}, now_()});
        });
    if (fresh)
        log_member(*sender, "member_seen");
    permit_reply reply;
    reply.vote = replica_.vote(request.known);
    if (auto replicas = replica_.replicas();
        request.known_replicas < replicas.index)
        reply.replicas = std::move(replicas);
    if (sender->role == member_role::entry)
        add_members(reply);
    return reply;
}

void control_service::add_members(permit_reply& reply)
{
    for (auto& it : members())
    {
        const bool agent = it.about->role == member_role::agent;
        auto& target = agent ? reply.agents : reply.entries;
        target.push_back(std::move(it.about));
    }
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
    const auto now = now_();
    std::vector<member_report> found;
    members_.for_each_shard(
        [&](auto& values)
        {
            std::erase_if(values, [&](const auto& it)
                          { return silent(it.second, now); });
            for (const auto& [id, it] : values)
                found.push_back(it.report);
        });
    return found;
}

bool control_service::silent(const known_member& it, instant now) const
{
    if (now - it.heard <= options_.member_silence)
        return false;
    log_member(*it.report.about, "member_lost");
    return true;
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
