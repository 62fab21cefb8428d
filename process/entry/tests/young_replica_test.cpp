// Claims that a replica of the ledger has to know of before it votes again.
#include "fake_fleet.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint holder{"10.0.0.1", 1};

//! A replica that has started again, and asks the fleet's first entry for its
//! claims.
class young_replica
{
public:
    explicit young_replica(fake_fleet& fleet)
        : fleet_(fleet), now_([&fleet] { return fleet.time().now(); }),
          ledger({.records_since = fleet.wall(), .started_at = now_()}, now_,
                 [&fleet] { return fleet.wall(); })
    {
    }

    void tick()
    {
        recovery_.tick();
    }

private:
    ledger_recovery_hooks hooks()
    {
        return {.now = now_,
                .peers = [] { return std::vector{holder}; },
                .ask =
                    [this](const endpoint&, const held_claims_hook& done)
                {
                    done(held_claims{.settled = true,
                                     .claims = fleet_.entry(0).held_claims()});
                },
                .restore_claim = [this](const claim_request& it)
                { ledger.restore_claim(it); },
                .ask_for_records = [](const endpoint&, std::uint64_t,
                                      const peer_records_hook& done)
                { done(peer_records()); },
                .restore_record = [this](const ledger_record& it)
                { ledger.restore_record(it); },
                .after = [](duration, const std::function<void()>& work)
                { work(); },
                .no_stray_runs = [] { return true; },
                .done =
                    [this](const ledger_completion&)
                {
                    ledger.set_complete();
                }};
    }

    fake_fleet& fleet_;
    const clock_hook now_;

public:
    ledger_replica ledger;

private:
    ledger_recovery recovery_{{}, hooks()};
};

//! Three entries of which the third is cut off from the others' replicas; the
//! second one's replica votes for the first entry, and starts again.
class young_replicas : public testing::Test
{
protected:
    young_replicas()
    {
        fleet.run_time = [](const upstream_call&)
        {
            return seconds(4);
        };
        fleet.on_start = [this](const upstream_call&)
        {
            ++starts;
        };
        fleet.run_for(seconds(5)); // until the replicas vote on undated jobs
        fleet.part_entry(2, true);
        fleet.submit(0, job({.submission = submission_id("s"),
                             .customer = customer_id("c"),
                             .dated = false,
                             .time_limit = seconds(20),
                             .idempotent = true,
                             .tasks = std::vector<task>(1)}));
    }

    //! @return the outcome of a claim by another entry at the replica that has
    //! started again and at the one that was never asked.
    claim_outcome claim_elsewhere(ledger_replica& restarted)
    {
        const auto now = [this]
        {
            return fleet.time().now();
        };
        ledger_replica not_asked({.complete = true}, now,
                                 [this] { return fleet.wall(); });
        const auto request = first_claim().with(
            [](claim_request_options& it)
            {
                it.holder = entry_id("entry-2");
                it.holder_address = "entry-2";
            });
        claim_tally tally(3, request->lease, now());
        tally.add(restarted.claim(request));
        const auto second = tally.add(not_asked.claim(request));
        const auto third = tally.add(std::nullopt);
        return second ? *second : third.value_or(claim_outcome());
    }

    //! @return the first claim of the job.
    claim_request first_claim() const
    {
        const auto& all = fleet.record().claims;
        const auto found =
            std::find_if(all.begin(), all.end(),
                         [](const claim_request& it)
                         { return it->submission == submission_id("s"); });
        return found == all.end() ? claim_request() : *found;
    }

    fake_fleet fleet{{.lease = milliseconds(1500)}};
    int starts = 0;
};

} // namespace

TEST_F(young_replicas, know_of_a_claim_that_is_held)
{
    fleet.run_for(milliseconds(10));
    EXPECT_EQ(starts, 1);
    young_replica restarted(fleet);
    restarted.tick();
    fleet.run_for(milliseconds(750));
    restarted.tick();
    EXPECT_TRUE(restarted.ledger.complete());
    EXPECT_NE(claim_elsewhere(restarted.ledger)->status, claim_status::held);
}

// Guards against two entries that held round 1: the vote of a replica's earlier
// life reached the first holder after that had told the replica its claims.
TEST_F(young_replicas, know_of_a_claim_whose_votes_are_on_their_way)
{
    fleet.run_for(milliseconds(2));
    EXPECT_EQ(starts, 0);
    young_replica restarted(fleet);
    restarted.tick();
    fleet.run_for(milliseconds(750));
    restarted.tick();
    EXPECT_TRUE(restarted.ledger.complete());
    EXPECT_EQ(starts, 1);
    const auto second = claim_elsewhere(restarted.ledger);
    EXPECT_NE(second->status, claim_status::held)
        << "round " << second->round.number() << ", first claim "
        << second->first_claim_age.count() << " us ago";
}

TEST_F(young_replicas, know_of_a_claim_past_its_end_whose_renewal_is_in_flight)
{
    fleet.run_for(milliseconds(10));
    ASSERT_EQ(fleet.entry(0).held_claims().size(), 1U);
    fleet.part_entry(0, true);
    fleet.run_for(milliseconds(1500));
    std::size_t reports = 0;
    for (int n = 0; n < 100; ++n)
    {
        fleet.run_for(milliseconds(1));
        for (const auto& it : fleet.entry(0).held_claims())
        {
            ++reports;
            EXPECT_EQ(it->round, claim_round(1));
            EXPECT_EQ(it->lease, milliseconds(1500));
        }
    }
    EXPECT_GT(reports, 0U);
}

} // namespace lagoonquay
