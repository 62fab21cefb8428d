// Seeded schedules of entries that join, several at once, while earlier entries
// hold jobs. Callers send each job again through a newcomer while it runs. No
// process ends, so no replica loses a claim.
//
// More seeds by hand: JOINED_ENTRIES_SEEDS="FIRST COUNT". A single one also
// writes the log of all processes.
#include "listed_fleet.hpp"
#include "seed_range.hpp"

#include "lagoonquay/process/log.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seed_range seeds_in_ci{.first = 1, .count = 40};
constexpr std::uint64_t jobs = 40;

class join_schedule
{
public:
    //! @param logs  whether all processes write their logs.
    join_schedule(std::uint64_t seed, bool logs)
        : logs_(logs),
          drawn_(seed, {.least_late = 3, .loss_percent = 8, .slots = 64})
    {
        fleet_.run_time = [this](const upstream_call&)
        {
            return milliseconds(1500 + fleet_.draw(2500));
        };
    }

    // The older entries have been there for longer than those of the start of
    // a fleet count as new.
    void run()
    {
        constexpr std::uint64_t max_joins_ms = 600;
        if (logs_)
            open_log({.level = log_level::info, .waiting_bytes = 64UL << 20U},
                     {}, [this] { return fleet_.origin_of_line(); });
        fleet_.run_for(seconds(12));
        for (auto n = drawn_.first_late(); n < entries_; ++n)
            fleet_.time().after(milliseconds(fleet_.draw(max_joins_ms)),
                                [this, n] { fleet_.start_entry(n); });
        for (std::uint64_t n = 0; n < jobs; ++n)
        {
            submit(n);
            fleet_.run_for(milliseconds(fleet_.draw(60)));
        }
        fleet_.run_for(seconds(14));
        if (logs_)
            open_log({.level = log_level::error});
    }

    fake_fleet& fleet() noexcept
    {
        return fleet_;
    }

    const held_round_counts& counts() const noexcept
    {
        return drawn_.ledger.counts();
    }

private:
    void submit(std::uint64_t number)
    {
        constexpr std::uint64_t max_repeat_ms = 2500;
        const job work(
            {.submission = submission_id("job-" + std::to_string(number)),
             .customer = customer_id("c"),
             .dated = false,
             .time_limit = seconds(8),
             .idempotent = true,
             .tasks = std::vector<task>(1)});
        fleet_.submit(fleet_.draw(drawn_.first_late()), work);
        for (auto n = drawn_.first_late(); n < entries_; ++n)
            fleet_.time().after(milliseconds(fleet_.draw(max_repeat_ms)),
                                [this, n, work]
                                {
                                    if (fleet_.entry_alive(n))
                                        fleet_.submit(n, work);
                                });
    }

    const bool logs_;
    listed_fleet drawn_;
    const std::size_t entries_ = drawn_.settings.entries;
    fake_fleet& fleet_ = drawn_.fleet;
};

seed_range seeds()
{
    return seeds_first_and_count("JOINED_ENTRIES_SEEDS", seeds_in_ci);
}

} // namespace

// Guards against a newcomer that is granted a job by a group of newcomers while
// an entry holds it that was there before.
TEST(listed_ledger_joins, grant_no_held_job_to_a_newcomer)
{
    open_log({.level = log_level::error});
    const auto range = seeds();
    std::uint64_t failed = 0;
    std::uint64_t first = 0;
    std::uint64_t answers = 0;
    std::uint64_t complete = 0;
    for (auto seed = range.first; seed < range.end(); ++seed)
    {
        join_schedule tested_schedule(seed, range.is_single());
        tested_schedule.run();
        auto found = tested_schedule.fleet().record().violations;
        const auto& twice = tested_schedule.fleet().rounds().granted_twice();
        found.insert(found.end(), twice.begin(), twice.end());
        for (const auto& it : found)
            ADD_FAILURE() << "seed " << seed << ": " << it;
        failed += found.empty() ? 0 : 1;
        first += tested_schedule.counts().first;
        const auto& given = tested_schedule.fleet().record().answers;
        answers += given.size();
        complete += static_cast<std::uint64_t>(
            std::count_if(given.begin(), given.end(),
                          [](const auto& it) { return succeeded(it); }));
    }
    std::cout << "failing seeds " << failed << " of " << range.count
              << "; held in round 1 " << first << ", answers " << answers
              << ", complete " << complete << "\n";
    EXPECT_GT(first, 0U);
}

} // namespace lagoonquay
