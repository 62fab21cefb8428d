// Which records a replica that began anew needs, and what it votes on.
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/record_scope.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t jobs = 500;

std::vector<ledger_peer> entries(std::size_t count)
{
    std::vector<ledger_peer> all;
    for (std::size_t n = 0; n < count; ++n)
    {
        ledger_peer it;
        it.address.address = "10.0.0." + std::to_string(n + 1);
        it.address.port = 7000;
        it.domain = domain_id("d" + std::to_string(n % 3));
        all.push_back(std::move(it));
    }
    return all;
}

submission_id job_number(std::size_t n)
{
    return submission_id("job-" + std::to_string(n));
}

//! Entry 0, as one of `count`.
record_scope scope_of_first(std::size_t count)
{
    const auto all = entries(count);
    return make_record_scope(all[0], {all.begin() + 1, all.end()});
}

claim_request claim_of(const submission_id& submission)
{
    return claim_request({.submission = submission,
                          .dated = false,
                          .holder = entry_id("e"),
                          .holder_run = incarnation(1),
                          .ask = claim_sequence(1),
                          .lease = seconds(1)});
}

TEST(record_scope, covers_each_group_of_its_replica)
{
    const auto all = entries(12);
    const auto scope = scope_of_first(12);
    for (std::size_t n = 0; n < jobs; ++n)
    {
        const auto groups = choose_replica_groups(job_number(n), all[0],
                                                  {all.begin() + 1, all.end()});
        EXPECT_TRUE(!groups[0].local || covers(scope, job_number(n))) << n;
    }
}

// Others may have dropped entries that the replica still knew.
TEST(record_scope, covers_nearly_all_groups_without_any_two_others)
{
    const auto all = entries(12);
    const auto scope = scope_of_first(12);
    std::size_t missing = 0;
    std::size_t members = 0;
    for (std::size_t a = 1; a < all.size(); ++a)
    {
        for (std::size_t b = a + 1; b < all.size(); ++b)
        {
            auto peers = all;
            std::erase_if(
                peers, [&](const ledger_peer& it)
                { return it == all[0] || it == all[a] || it == all[b]; });
            for (std::size_t n = 0; n < jobs; ++n)
            {
                if (!choose_replica_groups(job_number(n), all[0], peers)[0]
                         .local)
                    continue;
                ++members;
                missing += covers(scope, job_number(n)) ? 0 : 1;
            }
        }
    }
    // Domains of other sizes order some of the rest anew.
    EXPECT_LT(missing * 20, members);
}

TEST(record_scope, leaves_out_most_of_a_large_fleet)
{
    const auto scope = scope_of_first(100);
    std::size_t covered = 0;
    for (std::size_t n = 0; n < jobs; ++n)
        covered += covers(scope, job_number(n)) ? 1 : 0;
    EXPECT_LT(covered, jobs / 7);
    EXPECT_GT(covered, 0U);
}

TEST(record_scope, covers_all_of_a_small_fleet)
{
    const auto scope = scope_of_first(7);
    for (std::size_t n = 0; n < jobs; ++n)
        EXPECT_TRUE(covers(scope, job_number(n)));
}

TEST(record_scope, is_the_same_after_a_message)
{
    const auto scope = scope_of_first(9);
    for (const reach_digests& known :
         {reach_digests{}, {reach_digest(7), reach_digest(9)}})
    {
        const record_question asked{.scope = scope, .known = known};
        const auto decoded =
            decode_record_question(encode_record_question(asked));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value(), asked);
    }
    EXPECT_FALSE(decode_record_question("{}"));
    EXPECT_FALSE(decode_record_question(R"({"self":"x","entries":[]})"));
}

// Guards against a claim that is granted as new although a record that was not
// asked for says that it is held.
TEST(record_scope,
     keeps_a_young_replica_from_votes_on_what_it_did_not_take_over)
{
    instant now(seconds(100));
    ledger_replica young(
        {.started_at = now}, [&now] { return now; }, wall_now);
    const auto scope = scope_of_first(100);
    young.set_complete(scope);
    std::size_t granted = 0;
    const auto vote = [&](std::size_t n)
    {
        return young.claim(claim_of(job_number(n)))->verdict;
    };
    for (std::size_t n = 0; n < jobs; ++n)
    {
        const bool known = covers(scope, job_number(n));
        granted += known ? 1 : 0;
        EXPECT_EQ(vote(n),
                  known ? claim_verdict::granted : claim_verdict::fenced);
    }
    EXPECT_GT(granted, 0U);
    now += ledger_options().max_undated_resubmission_delay + milliseconds(1);
    for (std::size_t n = 0; n < jobs; ++n)
        EXPECT_EQ(vote(n), claim_verdict::granted);
}

TEST(record_scope, chooses_what_a_peer_tells)
{
    const instant now(seconds(100));
    ledger_replica old(
        {.complete = true}, [now] { return now; }, wall_now);
    for (std::size_t n = 0; n < jobs; ++n)
        old.claim(claim_of(job_number(n)));
    const auto scope = scope_of_first(12);
    const auto told = old.recent_records(0, jobs, scope).records;
    const auto expected = [&]
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < jobs; ++n)
            count += covers(scope, job_number(n)) ? 1 : 0;
        return count;
    }();
    EXPECT_EQ(told.size(), expected);
    EXPECT_TRUE(std::all_of(told.begin(), told.end(),
                            [&](const ledger_record& it)
                            { return covers(scope, it->claim->submission); }));
    EXPECT_EQ(old.recent_records(0, jobs).records.size(), jobs);
}

} // namespace

} // namespace lagoonquay
