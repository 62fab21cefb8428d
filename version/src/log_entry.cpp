#include "lagoonquay/version/log_entry.hpp"

#include <algorithm>

namespace lagoonquay
{

const replica_member* find_node(const membership& all,
                                const node_id& node) noexcept
{
    for (const auto& it : all->members)
    {
        if (it.node == node)
            return &it;
    }
    return nullptr;
}

const replica_member* find_name(const membership& all,
                                const replica_id& name) noexcept
{
    for (const auto& it : all->members)
    {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

bool is_voter(const membership& all, const node_id& node) noexcept
{
    const auto* it = find_node(all, node);
    return it != nullptr && it->voter;
}

std::size_t quorum(const membership& all) noexcept
{
    const auto voters =
        std::count_if(all->members.begin(), all->members.end(),
                      [](const replica_member& it) { return it.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

// Two majorities of voter sets that differ by one replica always overlap. So
// a wiped voter first leaves the voters, and its new life enters them later.
membership with_learner(const membership& all, replica_member joining)
{
    joining.voter = false;
    return all.with(
        [&](membership_options& it)
        {
            std::erase_if(it.members, [&](const replica_member& old)
                          { return old.name == joining.name; });
            it.members.push_back(std::move(joining));
        });
}

membership without_node(const membership& all, const node_id& node)
{
    return all.with(
        [&](membership_options& it)
        {
            std::erase_if(it.members, [&](const replica_member& each)
                          { return each.node == node; });
        });
}

membership with_voter(const membership& all, const node_id& node)
{
    return all.with(
        [&](membership_options& options)
        {
            for (auto& it : options.members)
                it.voter = it.voter || it.node == node;
        });
}

pending_limits limits_of(const std::vector<log_entry>& entries)
{
    pending_limits found;
    for (const auto& it : entries)
    {
        const auto* asked = std::get_if<command>(&it.content);
        if (asked == nullptr)
            continue;
        const auto& what = (*asked)->what;
        if (const auto* domain = std::get_if<set_domain>(&what);
            domain != nullptr && !domain->in_service)
            found.out.insert(domain->domain);
        if (const auto* agent = std::get_if<set_agent_drain>(&what);
            agent != nullptr && agent->drained)
            found.drains.insert(agent->agent);
    }
    return found;
}

std::size_t approximate_bytes(const log_entry& it) noexcept
{
    constexpr std::size_t plain = 512;
    constexpr std::size_t each_queue = 256;
    const auto* asked = std::get_if<command>(&it.content);
    if (asked == nullptr)
        return plain;
    if (const auto* text = std::get_if<set_settings>(&(*asked)->what))
        return plain + text->settings.size();
    const auto* catalog = std::get_if<set_catalog>(&(*asked)->what);
    if (catalog == nullptr)
        return plain;
    // The operators' document travels as a string, with its quotes escaped.
    const auto source = catalog->catalog->source.size();
    return plain + source + source / 4 +
           each_queue * catalog->catalog->queues.size();
}

} // namespace lagoonquay
