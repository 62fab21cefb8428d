#include "lagoonquay/process/heard_members.hpp"

namespace lagoonquay
{

// Changes are told from the mark that this list had when the replica was asked,
// so they fit it unless a later answer has overtaken them.
void heard_members::apply(const member_changes& changes)
{
    const bool same_life = changes.mark.life == mark_.life;
    if (same_life && changes.mark.revision < mark_.revision)
        return;
    if (!same_life && !changes.whole)
        return;
    if (changes.whole)
        members_.clear();
    for (const auto& it : changes.gone)
        members_.erase(it);
    for (const auto& it : changes.agents)
        members_.insert_or_assign(it->id, it);
    for (const auto& it : changes.entries)
        members_.insert_or_assign(it->id, it);
    mark_ = changes.mark;
}

const members_mark& heard_members::mark() const noexcept
{
    return mark_;
}

std::vector<member> heard_members::agents() const
{
    return of(member_role::agent);
}

std::vector<member> heard_members::entries() const
{
    return of(member_role::entry);
}

std::vector<member> heard_members::of(member_role role) const
{
    std::vector<member> found;
    for (const auto& [id, it] : members_)
    {
        if (it->role == role)
            found.push_back(it);
    }
    return found;
}

} // namespace lagoonquay
