//! The last few revisions of the queues.
#pragma once

#include "lagoonquay/version/queue_catalog.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace lagoonquay
{

//! Remembers catalogs, so that a process that has one of them can be told of
//! what has changed since. Thread-safe.
class recent_catalogs
{
public:
    //! Remembers a catalog; ignores one that is not newer than the last.
    void note(const queue_catalog& catalog);

    //! @return the catalog of a revision, if it is remembered.
    std::optional<queue_catalog> find(catalog_revision revision) const;

    //! How many are remembered.
    static constexpr std::size_t most = 16;

private:
    mutable std::mutex mutex_;
    std::deque<queue_catalog> catalogs_; //!< oldest first
};

} // namespace lagoonquay
