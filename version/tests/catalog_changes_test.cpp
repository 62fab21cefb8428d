#include "lagoonquay/version/catalog_changes.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

job_queue queue(const std::string& host, const std::string& prefix,
                std::uint32_t priority = 0)
{
    job_queue it;
    it.id = queue_id(host + prefix);
    it.host = host;
    it.prefix = prefix;
    it.service = service_id("kiln");
    it.priority = priority;
    return it;
}

queue_catalog catalog(std::uint64_t revision, std::vector<job_queue> queues)
{
    return queue_catalog({.revision = catalog_revision(revision),
                          .queues = std::move(queues),
                          .services = {{service_id("kiln"), false}},
                          .source = {}});
}

const auto before =
    catalog(3, {queue("a", "/1/"), queue("a", "/2/"), queue("b", "/1/")});

TEST(catalog_changes, name_only_what_differs)
{
    const auto after =
        catalog(5, {queue("a", "/1/"), queue("b", "/1/", 2), queue("c", "/")});
    const auto changes = changes_between(before, after);
    const std::vector<queue_place> gone{{"a", "/2/"}};
    const std::vector<job_queue> changed{queue("b", "/1/", 2), queue("c", "/")};
    EXPECT_EQ(changes.gone, gone);
    EXPECT_EQ(changes.changed, changed);
    EXPECT_EQ(changes.from, catalog_revision(3));
    EXPECT_EQ(apply_changes(before, changes), after);
}

TEST(catalog_changes, lead_from_nothing_and_to_nothing)
{
    const auto none = catalog(9, {});
    EXPECT_EQ(apply_changes(before, changes_between(before, none)), none);
    EXPECT_EQ(apply_changes(none, changes_between(none, before)), before);
}

TEST(catalog_changes, of_another_revision_are_not_applied)
{
    const auto changes = changes_between(before, catalog(5, {}));
    EXPECT_FALSE(apply_changes(catalog(4, {}), changes));
}

} // namespace

} // namespace lagoonquay
