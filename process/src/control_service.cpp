#include "lagoonquay/process/control_service.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

json::object member_state(const member& it)
{
    return {{"role", it->role == member_role::agent ? "agent" : "entry"},
            {"id", it->id},
            {"domain", it->domain.text()},
            {"address", it->address},
            {"slots", it->slots},
            {"serving", it->serving}};
}

} // namespace

control_service::control_service(control_options options, clock_hook now)
    : options_(std::move(options)), now_(std::move(now))
{
}

permit_reply control_service::on_heartbeat(const permit_request& request)
{
    const auto& sender = request.sender;
    members_.with_shard(
        sender->id,
        [&](auto& values) {
            values.insert_or_assign(sender->id, known_member{sender, now_()});
        });
    permit_reply reply;
    const auto current = view();
    reply.vote.replica = options_.id;
    reply.vote.version = current->version;
    if (request.known < current->version)
        reply.vote.view = current;
    if (sender->role != member_role::entry)
        return reply;
    for (auto& it : members())
    {
        if (it->role == member_role::agent)
            reply.agents.push_back(std::move(it));
    }
    return reply;
}

void control_service::propose(const command& asked, const outcome_hook& done)
{
    command_outcome outcome;
    {
        const std::lock_guard lock(state_mutex_);
        outcome = state_.apply(asked);
    }
    done(outcome);
}

fleet_view control_service::view() const
{
    const std::lock_guard lock(state_mutex_);
    return state_.view();
}

std::vector<member> control_service::members()
{
    const auto now = now_();
    std::vector<member> found;
    members_.for_each_shard(
        [&](auto& values)
        {
            std::erase_if(
                values, [&](const auto& it)
                { return now - it.second.heard > options_.member_silence; });
            for (const auto& [id, it] : values)
                found.push_back(it.about);
        });
    return found;
}

std::string control_service::dump()
{
    const auto current = view();
    json::array out;
    for (const auto& it : current->out_domains)
        out.push_back(json::value(it.text()));
    json::array known;
    for (const auto& it : members())
        known.push_back(member_state(it));
    const json::object state{{"role", "control"},
                             {"id", options_.id.text()},
                             {"version", current->version.number()},
                             {"out_domains", std::move(out)},
                             {"members", std::move(known)}};
    return json::serialize(state);
}

} // namespace lagoonquay
