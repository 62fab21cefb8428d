#include "lagoonquay/version/catalog_changes.hpp"

#include <map>
#include <string_view>
#include <utility>

namespace lagoonquay
{

namespace
{

using place_view = std::pair<std::string_view, std::string_view>;
using queues_by_place = std::map<place_view, const job_queue*>;

queues_by_place by_place(const std::vector<job_queue>& queues)
{
    queues_by_place found;
    for (const auto& it : queues)
        found.insert_or_assign(place_view(it.host, it.prefix), &it);
    return found;
}

} // namespace

catalog_changes changes_between(const queue_catalog& from,
                                const queue_catalog& to)
{
    catalog_changes changes{from->revision, to->revision, {}, {}, to->services};
    const auto before = by_place(from->queues);
    const auto after = by_place(to->queues);
    for (const auto& [place, queue] : before)
    {
        if (!after.contains(place))
            changes.gone.push_back({queue->host, queue->prefix});
    }
    for (const auto& [place, queue] : after)
    {
        const auto old = before.find(place);
        if (old == before.end() || *old->second != *queue)
            changes.changed.push_back(*queue);
    }
    return changes;
}

std::optional<queue_catalog> apply_changes(const queue_catalog& from,
                                           const catalog_changes& changes)
{
    if (from->revision != changes.from)
        return std::nullopt;
    auto queues = by_place(from->queues);
    for (const auto& it : changes.gone)
        queues.erase(place_view(it.host, it.prefix));
    for (const auto& it : changes.changed)
        queues.insert_or_assign(place_view(it.host, it.prefix), &it);
    queue_catalog_options options;
    options.revision = changes.to;
    options.services = changes.services;
    options.queues.reserve(queues.size());
    for (const auto& [place, queue] : queues)
        options.queues.push_back(*queue);
    return queue_catalog(std::move(options));
}

} // namespace lagoonquay
