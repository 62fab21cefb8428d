// Entries that join and leave beside restarts in turn, where nothing fails and
// each entry gets jobs all the time. No job may be refused or fail.
#include "listed_ledger.hpp"

#include "lagoonquay/process/log.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <set>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

//! A fleet that changes while jobs come through each entry that serves.
class changing_fleet
{
public:
    changing_fleet(std::size_t entries, std::size_t late)
        : fleet_(ledger_.attach({.entries = entries + late,
                                 .late_entries = late,
                                 .slots = 400,
                                 .upstreams_can_stop = true}))
    {
        open_log({.level = log_level::error});
        fleet_.run_for(seconds(12));
        for (std::size_t n = 0; n < entries; ++n)
            serving_.insert(n);
    }

    //! As a planned restart: the entry gets no new jobs, ends those it has, and
    //! its next process gets jobs once it votes on all of them.
    void restart(std::size_t entry)
    {
        leave(entry);
        run_for(milliseconds(300));
        join(entry);
    }

    void leave(std::size_t entry)
    {
        serving_.erase(entry);
        run_for(milliseconds(500));
        fleet_.kill_entry(entry);
    }

    void start(std::size_t entry)
    {
        fleet_.start_entry(entry);
    }

    void join(std::size_t entry)
    {
        constexpr int max_steps = 100;
        start(entry);
        run_for(milliseconds(500));
        for (int n = 0; n < max_steps && !ledger_.complete(entry); ++n)
            run_for(milliseconds(100));
        serving_.insert(entry);
    }

    //! Submits two jobs through each entry in each 100 ms, of which one must
    //! not be repeated.
    void run_for(duration span)
    {
        constexpr auto step = milliseconds(100);
        for (auto left = span; left > duration(); left -= step)
        {
            for (const auto to : serving_)
            {
                submit(to, false);
                submit(to, true);
            }
            fleet_.run_for(step);
        }
    }

    //! @return how many jobs were refused or failed.
    std::size_t end(const std::string& what)
    {
        run_for(seconds(4));
        serving_.clear();
        fleet_.run_for(seconds(8));
        const auto& given = fleet_.record().answers;
        const auto complete = static_cast<std::size_t>(
            std::count_if(given.begin(), given.end(),
                          [](const auto& it) { return succeeded(it); }));
        std::cout << what << ": " << sent_ << " jobs, " << sent_ - complete
                  << " refused or failed\n";
        for (const auto& it : fleet_.record().violations)
            ADD_FAILURE() << what << ": " << it;
        return sent_ - complete;
    }

private:
    void submit(std::size_t to, bool idempotent)
    {
        ++sent_;
        fleet_.submit(
            to,
            job({.submission = submission_id("job-" + std::to_string(sent_)),
                 .customer = customer_id("c"),
                 .dated = false,
                 .time_limit = seconds(4),
                 .idempotent = idempotent,
                 .tasks = std::vector<task>(1)}));
    }

    listed_ledger ledger_{fleet_, {}};
    fake_fleet fleet_;
    std::set<std::size_t> serving_;
    std::size_t sent_ = 0;
};

constexpr int gaps[] = {0, 1000, 2000, 3000, 4000, 6000};

} // namespace

TEST(changing_fleets, refuse_nothing_as_one_joins_three_beside_a_restart)
{
    for (const int gap : gaps)
    {
        changing_fleet fleet(3, 1);
        fleet.start(3);
        fleet.restart(0);
        fleet.run_for(milliseconds(gap));
        fleet.restart(1);
        EXPECT_EQ(fleet.end("one joins, " + std::to_string(gap) + " ms"), 0U);
    }
}

// Two leave, and are dropped by the others 7 s later at the latest.
TEST(changing_fleets, refuse_nothing_as_five_become_three_before_a_restart)
{
    for (const int gap : gaps)
    {
        changing_fleet fleet(5, 0);
        fleet.leave(4);
        fleet.leave(3);
        fleet.run_for(milliseconds(7000 + gap));
        fleet.restart(0);
        EXPECT_EQ(fleet.end("two leave, " + std::to_string(gap) + " ms"), 0U);
    }
}

TEST(changing_fleets, refuse_nothing_as_entries_restart_in_turn_beside_a_join)
{
    for (const std::size_t entries : {3U, 5U})
    {
        changing_fleet fleet(entries, 1);
        fleet.start(entries);
        for (int round = 0; round < 2; ++round)
        {
            for (std::size_t n = 0; n < entries; ++n)
            {
                fleet.restart(n);
                fleet.run_for(seconds(2));
            }
        }
        EXPECT_EQ(fleet.end(std::to_string(entries) + " in turn, one joins"),
                  0U);
    }
}

} // namespace lagoonquay
