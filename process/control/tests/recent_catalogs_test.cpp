#include "lagoonquay/process/recent_catalogs.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

queue_catalog catalog(std::uint64_t revision)
{
    return queue_catalog({.revision = catalog_revision(revision),
                          .queues = {},
                          .services = {},
                          .source = "the document"});
}

TEST(recent_catalogs, keeps_the_last_few_without_their_documents)
{
    recent_catalogs recent;
    for (std::uint64_t n = 1; n <= recent_catalogs::most + 1; ++n)
        recent.note(catalog(n));
    EXPECT_FALSE(recent.find(catalog_revision(1)));
    const auto found = recent.find(catalog_revision(2));
    ASSERT_TRUE(found);
    EXPECT_TRUE((*found)->source.empty());
}

// A replica that begins anew shows older state until it has caught up.
TEST(recent_catalogs, ignores_what_is_not_newer)
{
    recent_catalogs recent;
    recent.note(catalog(5));
    recent.note(catalog(5));
    recent.note(catalog(3));
    EXPECT_FALSE(recent.find(catalog_revision(3)));
    EXPECT_TRUE(recent.find(catalog_revision(5)));
}

} // namespace

} // namespace lagoonquay
