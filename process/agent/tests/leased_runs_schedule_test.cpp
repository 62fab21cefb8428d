// Random schedules, by seed, of late, lost and reordered messages between an
// agent and its worker. A run whose result was reported must have ended and
// must never begin again.
#include "leased_runs_schedule.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

void run_seeds(const fault_rates& rates)
{
    constexpr std::uint32_t seeds = 60;
    constexpr duration length = std::chrono::seconds(20);
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        leased_runs_schedule schedule(seed, rates);
        schedule.run_for(length);
        EXPECT_GT(schedule.reported, 20) << "seed " << seed;
        for (const auto& it : schedule.violations)
            ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}

TEST(leased_runs_schedules, no_faults)
{
    run_seeds({});
}

TEST(leased_runs_schedules, lost_and_delayed_answers_end_no_active_run)
{
    run_seeds(
        {.answers_lost = 15, .answers_delayed = 30, .orders_delayed = 30});
}

TEST(leased_runs_schedules, late_orders_begin_no_run_that_was_reported)
{
    run_seeds({.answers_lost = 5, .orders_late = 10, .orders_delayed = 10});
}

TEST(leased_runs_schedules, a_worker_that_leaves_all_orders_unanswered)
{
    run_seeds({.answers_lost = 5, .mute_period = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_after_a_pause)
{
    run_seeds({.orders_late = 10,
               .pause = std::chrono::seconds(3),
               .mute_period = std::chrono::seconds(2)});
}

TEST(leased_runs_schedules, a_worker_that_restarts_under_the_same_name)
{
    run_seeds({.answers_lost = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3)});
}

// Lives are shorter than the time until the agent hears of the next one.
TEST(leased_runs_schedules, a_worker_whose_lives_are_short)
{
    run_seeds({.answers_lost = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::milliseconds(300),
               .pause = std::chrono::milliseconds(400),
               .pause_period = std::chrono::milliseconds(500)});
}

TEST(leased_runs_schedules, late_orders_to_a_worker_whose_lives_are_short)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 30,
               .restart_period = std::chrono::milliseconds(300),
               .pause = std::chrono::milliseconds(400),
               .pause_period = std::chrono::milliseconds(500)});
}

TEST(leased_runs_schedules, late_orders_reach_a_next_life)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_begin_no_run_that_was_said_not_to_run)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3),
               .retry_window = duration::zero()});
}

TEST(leased_runs_schedules, an_agent_that_freezes)
{
    run_seeds({.answers_lost = 10,
               .answers_delayed = 10,
               .orders_late = 3,
               .orders_delayed = 10,
               .freeze_period = std::chrono::seconds(4)});
}

// Guards against a run of an earlier agent process beside its next attempt.
TEST(leased_runs_schedules, an_agent_whose_process_begins_anew)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 10,
               .process_period = std::chrono::seconds(3),
               .max_stop_time = duration::zero()});
}

TEST(leased_runs_schedules, late_orders_of_an_earlier_process_in_a_next_life)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 10,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3),
               .process_period = std::chrono::seconds(4),
               .max_lateness = std::chrono::seconds(12),
               .max_stop_time = duration::zero()});
}

// Guards against a token that falls since a next life's clock begins lower.
TEST(leased_runs_schedules, late_orders_of_an_earlier_process_to_any_clock)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 10,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3),
               .max_first_clock = std::chrono::hours(2),
               .process_period = std::chrono::seconds(4),
               .max_lateness = std::chrono::seconds(12),
               .max_stop_time = duration::zero()});
}

// Guards against a raised token that no later process can reach.
TEST(leased_runs_schedules, late_orders_with_a_token_raised_after_a_refusal)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 10,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3),
               .process_period = std::chrono::seconds(4),
               .refusal_period = std::chrono::seconds(2),
               .max_lateness = std::chrono::seconds(12),
               .max_stop_time = duration::zero()});
}

// Guards against a run that is on no list, since a stop has just reached it.
TEST(leased_runs_schedules, a_stop_of_an_earlier_process_is_being_carried_out)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 30,
               .orders_delayed = 10,
               .process_period = std::chrono::seconds(1),
               .max_process_gap = std::chrono::milliseconds(600),
               .stops_all_before_end = true,
               .max_lateness = std::chrono::milliseconds(600),
               .heartbeat_period = std::chrono::milliseconds(100),
               .max_work = std::chrono::seconds(1)});
}

} // namespace

} // namespace lagoonquay
