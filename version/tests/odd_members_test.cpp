// Rows of a list of members that another writer left.
#include "lagoonquay/version/version_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr std::size_t deep_levels = 500000;

constexpr const char* good_row =
    R"({"role":"agent","id":"a","run":"3","domain":"d",)"
    R"("address":"127.0.0.1:1","slots":8,"processors_milli":1,)"
    R"("memory_mb":2,"accelerators":3,"serving":true})";

std::string with(std::string text, const std::string& from,
                 const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string reply_with(const std::string& row)
{
    return R"({"replica":"r","version":7,"pending_out":[],"pending_drains":[],"members":{"mark":{"life":"1",)"
           R"("revision":4},"whole":true,"agents":[)" +
           row + "," + good_row + R"(],"entries":[],"gone":[]}})";
}

TEST(odd_members, a_row_that_cannot_be_read_hides_no_other)
{
    for (const auto& odd :
         {with(good_row, "\"agent\"", "\"odd\""),
          with(good_row, "\"3\"", "\"18446744073709551616\""),
          with(good_row, "\"3\"", "3"), with(good_row, ":8", ":1e400"),
          with(good_row, ":8", ":-1"), with(good_row, ":8", ":0.5"),
          with(good_row, "\"slots\":8,", ""),
          with(good_row, "\"127.0.0.1:1\"", "[[[[[]]]]]"), std::string("null"),
          std::string("[]"), std::string("5")})
    {
        const auto it = decode_permit_reply(reply_with(odd));
        ASSERT_TRUE(it) << odd << ": " << it.error().detail;
        EXPECT_TRUE(it.value().vote) << odd;
        ASSERT_EQ(it.value().members.agents.size(), 1U) << odd;
        EXPECT_EQ(it.value().members.agents.front()->id, "a");
    }
}

TEST(odd_members, text_that_cannot_be_parsed_ends_no_process)
{
    const std::string open(deep_levels, '[');
    for (const auto& odd : {open, open + std::string(deep_levels, ']'),
                            std::string("\"\xff\""), std::string("{")})
    {
        EXPECT_FALSE(decode_permit_reply(reply_with(odd)));
        EXPECT_FALSE(
            decode_permit_request(R"({"known":0,"sender":)" + odd + "}"));
    }
}

} // namespace

} // namespace lagoonquay
