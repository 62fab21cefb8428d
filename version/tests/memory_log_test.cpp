// How much of a log goes into one message.
#include "lagoonquay/version/memory_log.hpp"
#include "lagoonquay/version/replica_codec.hpp"

#include <gtest/gtest.h>
#include <string>

namespace lagoonquay
{

namespace
{

constexpr std::size_t many = 64;

//! A catalog with a document of about 150 bytes a queue.
queue_catalog catalog_of(std::size_t queues)
{
    queue_catalog_options it;
    it.revision = catalog_revision(7);
    it.services = {{service_id("s1"), false}};
    for (std::size_t n = 0; n < queues; ++n)
    {
        const auto name = "queue-" + std::to_string(n);
        it.queues.push_back({.id = queue_id(name),
                             .host = name + ".example",
                             .prefix = "/" + name + "/",
                             .service = service_id("s1"),
                             .time_limit = std::chrono::seconds(1)});
        it.source += R"({"name":")" + name + R"(","host":")" + name +
                     R"(.example","prefix":"/)" + name +
                     R"(/","limit_ms":1500,"target_ms":60,"stretch":1.6,)"
                     R"("priority":1,"service":"s1","attempts":2},)";
    }
    return queue_catalog(std::move(it));
}

log_entry large_entry(std::uint64_t index, std::size_t queues = 400)
{
    command_options asked;
    asked.id = command_id("c" + std::to_string(index));
    asked.what = set_catalog{catalog_of(queues)};
    return {log_index(index), term_number(1), command(std::move(asked))};
}

TEST(memory_log, a_slice_is_cut_by_its_bytes)
{
    memory_log log;
    for (std::uint64_t n = 1; n <= 20; ++n)
        log.put(large_entry(n));
    const auto each = approximate_bytes(large_entry(1));
    EXPECT_EQ(log.slice(log_index(1), many, 5 * each).size(), 5U);
    EXPECT_EQ(log.slice(log_index(18), many, 5 * each).size(), 3U);
    EXPECT_EQ(log.slice(log_index(1), 2, 5 * each).size(), 2U);
    EXPECT_EQ(log.slice(log_index(1), many, 1).size(), 1U);
    EXPECT_TRUE(log.slice(log_index(21), many, 5 * each).empty());
}

// The limit of a listener must hold what the bounds of a message let through.
TEST(memory_log, the_bytes_of_a_message_are_about_those_of_its_text)
{
    for (const std::size_t queues : {1U, 40U, 400U})
    {
        append_request asked;
        for (std::uint64_t n = 1; n <= 3; ++n)
            asked.entries.push_back(large_entry(n, queues));
        const replica_message message{cluster_number(1), node_id("a"),
                                      node_id("b"), asked};
        const auto text = encode_batch({"127.0.0.1:1", {message}}).size();
        EXPECT_GE(approximate_bytes(message) * 5 / 4, text) << queues;
        EXPECT_LE(approximate_bytes(message), 4 * text) << queues;
    }
}

} // namespace

} // namespace lagoonquay
