#include "lagoonquay/version/command.hpp"

namespace lagoonquay
{

namespace
{

template <typename Id>
void set_member(std::set<Id>& ids, const Id& id, bool present)
{
    if (present)
        ids.insert(id);
    else
        ids.erase(id);
}

//! Writes one change into a view's options.
struct change_writer
{
    fleet_view_options& target;

    void operator()(const set_domain& it) const
    {
        set_member(target.out_domains, it.domain, !it.in_service);
    }
    void operator()(const set_agent_drain& it) const
    {
        set_member(target.drained_agents, it.agent, it.drained);
    }
    void operator()(const set_entry_drain& it) const
    {
        set_member(target.drained_entries, it.entry, it.drained);
    }
    void operator()(const set_settings& it) const
    {
        target.settings = it.settings;
    }
    void operator()(const set_catalog& it) const
    {
        target.catalog = it.catalog;
    }
    void operator()(const read_barrier&) const
    {
    }
};

//! @return whether the change leaves the view as it is.
bool is_void(const change& what, const fleet_view& view) noexcept
{
    if (const auto* it = std::get_if<set_catalog>(&what))
        return it->catalog->revision <= view->catalog->revision;
    return std::holds_alternative<read_barrier>(what);
}

} // namespace

bool forbids_work(const change& what) noexcept
{
    if (const auto* domain = std::get_if<set_domain>(&what))
        return !domain->in_service;
    if (const auto* agent = std::get_if<set_agent_drain>(&what))
        return agent->drained;
    if (const auto* entry = std::get_if<set_entry_drain>(&what))
        return entry->drained;
    return false;
}

fleet_state::fleet_state(const fleet_snapshot& from)
    : view_(from.view), author_(from.author)
{
    for (const auto& it : from.outcomes)
        remember(it.id, it.outcome);
}

command_outcome fleet_state::apply(const command& asked)
{
    if (const auto first = outcome_of(asked->id))
        return *first;
    const auto current = view_->version;
    command_outcome outcome{false, current, author_};
    if (is_void(asked->what, view_))
    {
        outcome.accepted = true;
    }
    else if (!asked->expected || *asked->expected == current)
    {
        const version_number next(current.number() + 1);
        view_ = view_.with(
            [&](fleet_view_options& it)
            {
                std::visit(change_writer{it}, asked->what);
                it.version = next;
            });
        author_ = asked->author;
        outcome = {true, next, author_};
    }
    remember(asked->id, outcome);
    return outcome;
}

const fleet_view& fleet_state::view() const noexcept
{
    return view_;
}

fleet_snapshot fleet_state::snapshot() const
{
    fleet_snapshot taken{view_, author_, {}};
    taken.outcomes.reserve(order_.size());
    for (const auto& [number, id] : order_)
        taken.outcomes.push_back({id, outcomes_.at(id)});
    return taken;
}

std::optional<command_outcome>
fleet_state::outcome_of(const command_id& id) const
{
    const auto it = outcomes_.find(id);
    if (it == outcomes_.end())
        return std::nullopt;
    return it->second;
}

void fleet_state::remember(const command_id& id, const command_outcome& outcome)
{
    outcomes_.emplace(id, outcome);
    order_.emplace(applied_++, id);
    if (order_.size() <= remembered_outcomes)
        return;
    outcomes_.erase(order_.begin()->second);
    order_.erase(order_.begin());
}

} // namespace lagoonquay
