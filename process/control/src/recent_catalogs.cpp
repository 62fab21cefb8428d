#include "lagoonquay/process/recent_catalogs.hpp"

namespace lagoonquay
{

namespace
{

// Only the queues are compared later.
queue_catalog without_source(const queue_catalog& catalog)
{
    auto options = *catalog;
    options.source.clear();
    return queue_catalog(std::move(options));
}

} // namespace

void recent_catalogs::note(const queue_catalog& catalog)
{
    const std::lock_guard lock(mutex_);
    if (!catalogs_.empty() && catalogs_.back()->revision >= catalog->revision)
        return;
    catalogs_.push_back(without_source(catalog));
    if (catalogs_.size() > most)
        catalogs_.pop_front();
}

std::optional<queue_catalog>
recent_catalogs::find(catalog_revision revision) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& it : catalogs_)
    {
        if (it->revision == revision)
            return it;
    }
    return std::nullopt;
}

} // namespace lagoonquay
