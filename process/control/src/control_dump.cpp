#include "control_dump.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

json::object member_state(const member_report& report)
{
    const auto& it = report.about;
    return {{"role", it->role == member_role::agent ? "agent" : "entry"},
            {"id", it->id},
            {"domain", it->domain.text()},
            {"address", it->address},
            {"slots", it->slots},
            {"serving", it->serving},
            {"applied_version", report.applied.number()}};
}

template <typename Id>
json::array ids_of(const std::set<Id>& ids)
{
    json::array array;
    for (const auto& it : ids)
        array.push_back(json::value(it.text()));
    return array;
}

std::string_view role_name(replica_role role)
{
    switch (role)
    {
    case replica_role::leader:
        return "leader";
    case replica_role::pre_candidate:
    case replica_role::candidate:
        return "candidate";
    case replica_role::follower:
        return "follower";
    }
    return "follower";
}

json::array replica_states(const log_status& status)
{
    json::array array;
    for (const auto& it : status.members->members)
    {
        json::object object{{"node", it.node.text()},
                            {"name", it.name.text()},
                            {"address", it.address},
                            {"voter", it.voter}};
        const auto found = status.followers.find(it.node);
        if (found != status.followers.end())
            object["stored_index"] = found->second.stored.number();
        array.push_back(std::move(object));
    }
    return array;
}

std::string leader_name(const log_status& status)
{
    const auto* it =
        status.leader ? find_node(status.members, *status.leader) : nullptr;
    return it == nullptr ? std::string() : it->name.text();
}

json::object log_state(const control_replica_state& state)
{
    const auto& status = state.decisions;
    return {{"role", role_name(status.role)},
            {"node", state.node.text()},
            {"cluster", std::to_string(status.state.cluster.number())},
            {"term", status.state.term.number()},
            {"leader", leader_name(status)},
            {"commit_index", status.commit.number()},
            {"last_index", status.last.number()},
            {"voter", status.voter},
            {"caught_up", status.caught_up},
            {"votes", state.votes},
            {"whole", state.whole},
            {"storage_error", state.storage_error},
            {"replicas", replica_states(status)}};
}

//! @return the version that every member has applied.
std::uint64_t applied_by_all(const control_replica_state& state,
                             const std::vector<member_report>& members)
{
    auto applied = state.view->version;
    for (const auto& it : members)
        applied = std::min(applied, it.applied);
    return applied.number();
}

} // namespace

std::string dump_control(const control_replica_state& state,
                         const std::vector<member_report>& members)
{
    const auto in_force =
        std::chrono::ceil<std::chrono::milliseconds>(state.in_force_after);
    json::array known;
    for (const auto& it : members)
        known.push_back(member_state(it));
    const json::object dump{
        {"role", "control"},
        {"id", state.name.text()},
        {"version", state.view->version.number()},
        {"applied_by_all", applied_by_all(state, members)},
        {"in_force_after_ms", in_force.count()},
        {"out_domains", ids_of(state.view->out_domains)},
        {"drained_agents", ids_of(state.view->drained_agents)},
        {"drained_entries", ids_of(state.view->drained_entries)},
        {"pending_out", ids_of(state.pending.out)},
        {"pending_drains", ids_of(state.pending.drains)},
        {"settings", state.view->settings},
        {"log", log_state(state)},
        {"members", std::move(known)}};
    return json::serialize(dump);
}

} // namespace lagoonquay
