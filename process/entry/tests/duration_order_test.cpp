// The order that durations of entries, agents, links and replicas have to keep
// so that no task runs twice, with each permitted setting.
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/leased_runs.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Longest period of a tick, of an entry or an agent.
constexpr duration tick = milliseconds(100);

//! The highest `claim_margin` that settings permit.
constexpr duration most_margin = seconds(1);

//! From an entry to its agent, on a path that works.
constexpr duration max_message_time = milliseconds(30);

//! Of lists from control.
constexpr duration list_period = milliseconds(500);

const entry_options entry;
const agent_options agent;
const leased_runs_options worker;
const ledger_recovery_options recovery;
const message_link_options link;

//! A worker's clock is slower by at most 1 / clock_drift_part, and was last
//! received up to a period of extensions ago.
constexpr int clock_drift_part = 40;
const duration max_time_without_orders =
    worker.lease + (worker.lease + worker.extend_period) / clock_drift_part;

} // namespace

TEST(duration_order, ends_a_late_run_before_its_entry_starts_it_elsewhere)
{
    EXPECT_LE(agent.orphan_grace + tick + worker.stop_time,
              entry.orphan_run_time);
    EXPECT_LT(entry.orphan_run_time + most_margin, entry.reconnect_timeout);
}

// A start that is carried out last may begin in a next life of the worker, with
// the longest lease of those that settings permit.
TEST(duration_order, moves_a_start_without_an_answer_once_no_run_of_it_goes_on)
{
    for (auto lease = milliseconds(100); lease <= std::chrono::minutes(1);
         lease += milliseconds(100))
    {
        auto it = worker;
        it.longest_lease = lease;
        for (const auto stop : {milliseconds(50), milliseconds(60000)})
        {
            it.stop_time = stop;
            EXPECT_GE(max_late_run_time(it), it.max_order_delay + lease +
                                                 lease / clock_drift_part +
                                                 it.clock_margin + stop)
                << lease.count() << " " << stop.count();
        }
    }
}

TEST(duration_order, ends_a_run_behind_a_silent_link_before_it_is_moved)
{
    EXPECT_LE(link.silence + agent.orphan_grace + tick + worker.stop_time,
              entry.reconnect_timeout);
}

// An entry hears of the loss up to a whole silence earlier than its agent, just
// after it has sent its last message.
TEST(duration_order, ends_a_run_that_gets_no_stop_before_its_entry_moves_it)
{
    EXPECT_GT(agent.max_unheard_run_time, link.silence);
    EXPECT_LE(agent.max_unheard_run_time + tick + max_time_without_orders +
                  max_message_time,
              entry.reconnect_timeout);
}

// Links in use or with pings are silent for half of the silence at most.
TEST(duration_order, leaves_the_whole_grace_to_a_run_whose_link_was_not_silent)
{
    EXPECT_GE(agent.max_unheard_run_time,
              link.silence / 2 + max_message_time + agent.orphan_grace);
}

TEST(duration_order,
     ends_the_runs_of_an_earlier_holder_before_an_adopter_starts)
{
    EXPECT_LE(entry.lapse_timeout + tick + worker.stop_time,
              entry.adoption_timeout);
    EXPECT_LE(link.silence + agent.orphan_grace + tick + worker.stop_time,
              entry.adoption_timeout);
}

// Also where a worker takes longer to stop a run.
TEST(duration_order, holds_for_each_stop_time_that_is_covered)
{
    for (duration stop{}; stop <= max_covered_stop_time;
         stop += milliseconds(10))
    {
        const auto it = with_stop_time(agent, stop);
        const auto orphan_end = it.orphan_grace + tick + stop;
        const auto unheard_end =
            max_message_time + it.max_unheard_run_time + tick + stop;
        EXPECT_LE(orphan_end, entry.orphan_run_time) << stop.count();
        EXPECT_LE(orphan_end, recovery.run_end_delay) << stop.count();
        EXPECT_LE(unheard_end, entry.reconnect_timeout) << stop.count();
        EXPECT_LE(unheard_end, entry.adoption_timeout) << stop.count();
        EXPECT_LE(entry.lapse_timeout + tick + stop, entry.adoption_timeout)
            << stop.count();
    }
    EXPECT_EQ(with_stop_time(agent, worker.stop_time), agent);
}

// With each permitted `claim_lease`: a late list that lacks an entry denies it
// no vote, and claims granted to it end before others change their groups, also
// those that receive lists later.
TEST(duration_order, ends_the_claims_of_an_unlisted_entry_before_groups_change)
{
    for (auto lease = milliseconds(1000); lease <= std::chrono::minutes(1);
         lease += milliseconds(100))
    {
        const auto retention = entry_retention(lease);
        EXPECT_LT(max_list_gap, retention / unlisted_part) << lease.count();
        EXPECT_LE(retention / unlisted_part + lease + list_period, retention)
            << lease.count();
    }
}

TEST(duration_order, ends_the_runs_of_a_dead_entry_before_a_new_replica_votes)
{
    EXPECT_LE(agent.orphan_grace + tick + worker.stop_time,
              recovery.run_end_delay);
    EXPECT_LE(worker.lease, recovery.run_end_delay);
}

// A run of a frozen agent may begin late, as before its entry moves it.
TEST(duration_order, ends_the_runs_of_a_lost_holder_before_its_job_is_claimed)
{
    EXPECT_LE(agent.orphan_grace + tick + worker.stop_time + worker.lease,
              lost_holder_delay);
    EXPECT_LE(link.silence + agent.orphan_grace + tick + worker.stop_time,
              lost_holder_delay);
    EXPECT_LE(entry.reconnect_timeout, lost_holder_delay);
}

} // namespace lagoonquay
