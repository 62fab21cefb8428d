#include "lagoonquay/version/replica_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const membership three(
    {.members = {{node_id("a-1"), replica_id("a"), "127.0.0.1:1", true},
                 {node_id("b-1"), replica_id("b"), "127.0.0.1:2", false}}});

const command settings({.id = command_id("c1"),
                        .author = "ann",
                        .expected = version_number(4),
                        .what = set_settings{"[fleet]\nname = \"é\"\n"}});

std::vector<log_entry> some_entries()
{
    return {{log_index(1), term_number(1), three},
            {log_index(2), term_number(1), no_operation{}},
            {log_index(3), term_number(2), settings}};
}

TEST(replica_codec, returns_each_kind_of_message)
{
    const std::vector<replica_message_body> bodies{
        vote_request{term_number(3), log_index(4), term_number(2), true, true},
        vote_reply{term_number(3), true, true},
        append_request{term_number(3), log_index(4), term_number(2),
                       some_entries(), log_index(3), true},
        append_reply{term_number(3), true, log_index(4), log_index(2)},
        snapshot_chunk{term_number(3), log_index(9), term_number(2), three, 5,
                       20, "bytes \"é\""},
        snapshot_reply{term_number(3), log_index(9), 5},
        hand_over_request{term_number(3)}};
    replica_batch batch{"127.0.0.1:9", {}};
    for (const auto& it : bodies)
        batch.messages.push_back(
            {cluster_number(~0ULL), node_id("a-1"), node_id("b-1"), it});
    const auto decoded = decode_batch(encode_batch(batch));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), batch);
}

TEST(replica_codec, returns_what_the_disk_keeps)
{
    std::vector<log_record> records{
        log_header{node_id("a-1"), log_index(7)},
        hard_state{cluster_number(1), term_number(2), node_id("b-1")},
        hard_state{cluster_number(1), term_number(2), std::nullopt}};
    for (const auto& it : some_entries())
        records.emplace_back(it);
    for (const auto& it : records)
    {
        const auto decoded = decode_record(encode_record(it));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value(), it);
    }
    fleet_state state;
    state.apply(command({.id = command_id("1"), .what = set_settings{"x"}}));
    state.apply(settings);
    const auto fleet = decode_fleet(encode_fleet(state.snapshot()));
    ASSERT_TRUE(fleet);
    EXPECT_EQ(fleet.value(), state.snapshot());
    EXPECT_EQ(fleet_state(fleet.value()).snapshot(), state.snapshot());
    const log_snapshot base{log_index(4), term_number(2), three, "data"};
    EXPECT_EQ(decode_snapshot(encode_snapshot(base)).value(), base);
}

TEST(replica_codec, refuses_what_does_not_fit)
{
    for (const std::string text :
         {"", "{}", "[]", R"({"address":"x","messages":[{}]})",
          R"({"address":"x","messages":[{"kind":"vote_reply","term":-1}]})"})
        EXPECT_FALSE(decode_batch(text));
    EXPECT_FALSE(decode_record(R"({"record":"other"})"));
    EXPECT_FALSE(decode_fleet("{}"));
}

} // namespace

} // namespace lagoonquay
