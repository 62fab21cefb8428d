#include "lagoonquay/version/command.hpp"
#include "lagoonquay/version/queue_catalog.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

job_queue queue(const std::string& id, const std::string& prefix)
{
    return {.id = queue_id(id),
            .host = "h.example",
            .prefix = prefix,
            .service = service_id("s"),
            .time_limit = std::chrono::seconds(1)};
}

queue_catalog catalog(std::uint64_t revision, std::vector<job_queue> queues)
{
    return queue_catalog({.revision = catalog_revision(revision),
                          .queues = std::move(queues),
                          .services = {{service_id("s"), false}},
                          .source = "document " + std::to_string(revision)});
}

command replace(const std::string& id, const queue_catalog& by)
{
    return command({.id = command_id(id),
                    .author = "ann",
                    .expected = std::nullopt,
                    .what = set_catalog{by}});
}

TEST(queue_catalog, the_longest_prefix_of_the_host_wins)
{
    const auto all = catalog(1, {queue("a", "/p/"), queue("b", "/p/q/")});
    EXPECT_EQ(find_queue(all, "h.example", "/p/q/1")->id, queue_id("b"));
    EXPECT_EQ(find_queue(all, "h.example:80", "/p/1")->id, queue_id("a"));
    EXPECT_EQ(find_queue(all, "other", "/p/1"), nullptr);
    EXPECT_EQ(find_queue(all, "h.example", "/x"), nullptr);
}

TEST(queue_catalog, refuses_what_contradicts_itself)
{
    EXPECT_TRUE(check_catalog(catalog(1, {queue("a", "/p/")})));
    auto unknown = queue("a", "/p/");
    unknown.service = service_id("other");
    EXPECT_FALSE(check_catalog(catalog(1, {unknown})));
    auto timeless = queue("a", "/p/");
    timeless.time_limit = {};
    EXPECT_FALSE(check_catalog(catalog(1, {timeless})));
    EXPECT_FALSE(
        check_catalog(catalog(1, {queue("a", "/p/"), queue("b", "/p/")})));
}

TEST(queue_catalog, only_a_higher_revision_takes_effect)
{
    fleet_state state;
    EXPECT_TRUE(state.apply(replace("1", catalog(7, {}))).accepted);
    const auto version = state.view()->version;
    EXPECT_TRUE(state.apply(replace("2", catalog(6, {}))).accepted);
    EXPECT_TRUE(
        state.apply(replace("3", catalog(7, {queue("a", "/p/")}))).accepted);
    EXPECT_EQ(state.view()->version, version);
    EXPECT_EQ(state.view()->catalog->source, "document 7");
    EXPECT_TRUE(state.view()->catalog->queues.empty());
    EXPECT_TRUE(state.apply(replace("4", catalog(8, {}))).accepted);
    EXPECT_EQ(state.view()->catalog->revision, catalog_revision(8));
}

TEST(queue_catalog, a_read_barrier_tells_the_version_and_changes_nothing)
{
    fleet_state state;
    state.apply(replace("1", catalog(7, {})));
    const auto version = state.view()->version;
    const auto read = state.apply(command({.id = command_id("r"),
                                           .author = "ann",
                                           .expected = std::nullopt,
                                           .what = read_barrier{}}));
    EXPECT_TRUE(read.accepted);
    EXPECT_EQ(read.version, version);
    EXPECT_EQ(state.view()->version, version);
}

TEST(queue_catalog, commands_read_back)
{
    auto stretched = queue("a", "/p/");
    stretched.stretch = 1.6;
    stretched.max_attempts = 3;
    for (const auto& it :
         {replace("1", catalog(7, {stretched})),
          command({.id = command_id("r"), .what = read_barrier{}})})
    {
        const auto decoded = decode_command(encode_command(it));
        ASSERT_TRUE(decoded) << decoded.error().detail;
        EXPECT_TRUE(decoded.value() == it);
    }
}

} // namespace

} // namespace lagoonquay
