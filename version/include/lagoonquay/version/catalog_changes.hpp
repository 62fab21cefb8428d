//! What differs between two revisions of the queues.
#pragma once

#include "lagoonquay/version/queue_catalog.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Where the requests of a queue go; no two queues of a catalog share it.
struct queue_place
{
    std::string host;
    std::string prefix;

    friend auto operator<=>(const queue_place&, const queue_place&) = default;
};

//! Turns the queues of one revision into those of a later one.
struct catalog_changes
{
    catalog_revision from;
    catalog_revision to;
    std::vector<queue_place> gone;
    std::vector<job_queue> changed;       //!< or new
    std::vector<worker_service> services; //!< all of them

    friend bool operator==(const catalog_changes&,
                           const catalog_changes&) = default;
};

//! @return what leads from one catalog to another.
catalog_changes changes_between(const queue_catalog& from,
                                const queue_catalog& to);

//! @return the catalog after the changes, in order of the queues' places and
//! without the operators' document; nothing if they are not changes of `from`.
std::optional<queue_catalog> apply_changes(const queue_catalog& from,
                                           const catalog_changes& changes);

} // namespace lagoonquay
