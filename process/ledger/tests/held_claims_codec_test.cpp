// Claims that an entry holds, in either encoding.
#include "lagoonquay/process/held_claims_codec.hpp"
#include "lagoonquay/process/ledger_codec.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const agent_reach both{{agent_id("a"), incarnation(1)},
                       {agent_id("b"), incarnation(2)}};
const agent_reach one{{agent_id("a"), incarnation(1)}};

claim_request_options claim_of(const std::string& submission)
{
    return {.submission = submission_id(submission),
            .digest = content_digest(18'000'000'000'000'000'000U),
            .dated = false,
            .holder = entry_id("e"),
            .holder_run = incarnation(17'000'000'000'000'000'000U),
            .holder_address = "127.0.0.1:1",
            .round = claim_round(3),
            .ask = claim_sequence(4),
            .lease = std::chrono::microseconds(1'499'999),
            .reach = both};
}

//! In flight, held, lapsed, of an earlier reach, and with a creation time.
held_claims all_kinds()
{
    auto in_flight = claim_of("in flight");
    in_flight.round = claim_round();
    auto lapsed = claim_of("lapsed");
    lapsed.lapsed = true;
    lapsed.lease = duration::zero();
    auto earlier = claim_of("earlier");
    earlier.reach = one;
    auto dated = claim_of("dated");
    dated.dated = true;
    dated.created = wall_time(std::chrono::milliseconds(1'700'000'000'000));
    auto dated_and_lapsed = dated;
    dated_and_lapsed.lapsed = true;
    auto without_agents = claim_of("without agents");
    without_agents.reach = {};
    return {.settled = true,
            .claims = {claim_request(in_flight), claim_request(claim_of("x")),
                       claim_request(lapsed), claim_request(earlier),
                       claim_request(dated), claim_request(dated_and_lapsed),
                       claim_request(without_agents)},
            .established = std::vector<endpoint>{{"127.0.0.1", 1}},
            .listed_for = std::chrono::seconds(2)};
}

reaches_by_digest having(const agent_reach& reach)
{
    return {{digest_of(reach), reach}};
}

} // namespace

TEST(held_claims_codec, tells_the_same_in_either_encoding)
{
    const auto held = all_kinds();
    const auto brief =
        decode_short_held_claims(encode_short_held_claims(held, {}), {});
    ASSERT_TRUE(brief);
    EXPECT_EQ(brief.value().held, held);
    EXPECT_EQ(brief.value().reaches,
              (std::vector<agent_reach>{both, one, agent_reach()}));
    const auto full = decode_short_held_claims(encode_held_claims(held), {});
    ASSERT_TRUE(full);
    EXPECT_EQ(full.value().held, held);
    const auto nothing =
        decode_short_held_claims(encode_short_held_claims({}, {}), {});
    ASSERT_TRUE(nothing);
    EXPECT_EQ(nothing.value(), told_claims());
}

// A process without a list tells zero; one of an earlier version nothing.
TEST(held_claims_codec, tells_which_entries_count_in_the_short_form)
{
    for (const auto& counted_for :
         {std::optional<duration>(), std::optional(duration::zero()),
          std::optional<duration>(std::chrono::seconds(2))})
    {
        auto held = all_kinds();
        held.entries_for = counted_for;
        if (counted_for && *counted_for != duration::zero())
            held.entries = entries_digest(7);
        const auto brief =
            decode_short_held_claims(encode_short_held_claims(held, {}), {});
        ASSERT_TRUE(brief);
        EXPECT_EQ(brief.value().held, held);
        EXPECT_EQ(brief.value().held.entries_for, counted_for);
    }
}

TEST(held_claims_codec, does_not_repeat_reaches_that_the_reader_has)
{
    const auto held = all_kinds();
    const auto known = having(both);
    const auto text = encode_short_held_claims(held, digests_of(known));
    EXPECT_EQ(text.find("\"b\""), std::string::npos);
    const auto told = decode_short_held_claims(text, known);
    ASSERT_TRUE(told);
    EXPECT_EQ(told.value().held, held);
}

// Guards against a claim whose adoption would ask other agents.
TEST(held_claims_codec, takes_no_claim_whose_reach_it_does_not_have)
{
    const auto text =
        encode_short_held_claims(all_kinds(), digests_of(having(both)));
    EXPECT_FALSE(decode_short_held_claims(text, {}));
    EXPECT_FALSE(decode_short_held_claims(text, having(one)));
}

TEST(known_reaches, have_a_digest_of_their_own)
{
    const agent_reach other_run{{agent_id("a"), incarnation(2)}};
    const agent_reach shifted{{agent_id("a1"), incarnation(1)}};
    const agent_reach joined{{agent_id("a"), incarnation(11)}};
    reach_digests digests;
    for (const auto& it :
         {both, one, agent_reach(), other_run, shifted, joined})
        digests.insert(digest_of(it));
    EXPECT_EQ(digests.size(), 6U);
    EXPECT_EQ(digest_of(one),
              digest_of(agent_reach{{agent_id("a"), incarnation(1)}}));
}

// Guards against a digest that another version computes in another way.
TEST(known_reaches, have_the_same_digest_in_every_build)
{
    EXPECT_EQ(digest_of(both).number(), 293'854'082'560'388'584U);
}

TEST(known_reaches, are_listed_in_a_text)
{
    const reach_digests some{reach_digest(1),
                             reach_digest(18'446'744'073'709'551'615U)};
    EXPECT_EQ(to_text(some), "1,18446744073709551615");
    EXPECT_EQ(parse_reach_digests(to_text(some)), some);
    EXPECT_EQ(parse_reach_digests(""), reach_digests());
    for (const auto* it : {"x", "-1", "1;2", "1x", ",", "18446744073709551616"})
        EXPECT_EQ(parse_reach_digests(it), std::nullopt) << it;
}

// Guards against an answer that names a reach which was dropped meanwhile.
TEST(known_reaches, stay_and_are_few)
{
    known_reaches known;
    known.add({one});
    for (std::uint64_t n = 0; n < 100; ++n)
        known.add({agent_reach{{agent_id("c"), incarnation(n)}}});
    EXPECT_EQ(known.current().size(), known_reaches::max_reaches);
    EXPECT_TRUE(known.current().contains(digest_of(one)));
}

} // namespace lagoonquay
