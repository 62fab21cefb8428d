// The reach of a claim: the list of agents to which the entry may dispatch its
// tasks.
#include "fake_fleet.hpp"
#include "lagoonquay/process/log.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

job job_of(const fake_fleet& fleet, const std::string& id, std::size_t tasks)
{
    return job({.submission = submission_id(id),
                .customer = customer_id("c"),
                .created = fleet.wall(),
                .time_limit = seconds(10),
                .tasks = std::vector<task>(tasks)});
}

//! A fleet of one entry whose tasks run for 100 ms.
std::unique_ptr<fake_fleet> fleet_of(std::size_t agents)
{
    open_log({.level = log_level::error});
    auto fleet = std::make_unique<fake_fleet>(fake_fleet_options{
        .entries = 1, .agents = agents, .lease = seconds(5)});
    fleet->run_time = [](const upstream_call&)
    {
        return milliseconds(100);
    };
    fleet->run_for(seconds(3));
    return fleet;
}

std::vector<claim_request> renewals(const fake_fleet& fleet)
{
    std::vector<claim_request> found;
    for (const auto& it : fleet.record().claims)
    {
        if (it->round != claim_round() && !it->release && !it->close)
            found.push_back(it);
    }
    return found;
}

// Guards against a reach that is smaller than the fleet: nearly every job then
// had to renew its claim to add agents, each time with a list of its own.
TEST(reach, of_the_first_claim_contains_every_agent_of_a_large_fleet)
{
    constexpr std::size_t agents = 70;
    const auto fleet = fleet_of(agents);
    fleet->submit(0, job_of(*fleet, "s", 2 * agents));
    fleet->run_for(seconds(2));
    ASSERT_EQ(fleet->record().answers.size(), 1U);
    EXPECT_TRUE(succeeded(fleet->record().answers[0]));
    EXPECT_EQ(fleet->record().starts.size(), 2 * agents);
    EXPECT_TRUE(renewals(*fleet).empty());
}

// Guards against a different agent list for each job. An entry may send the
// number of a list that it sent before instead of the list, which is of no use
// if no two jobs have the same list.
TEST(reach, is_extended_to_the_same_list_for_all_jobs)
{
    constexpr std::size_t agents = 8;
    constexpr std::size_t restarted = 6;
    constexpr std::size_t jobs = 20;
    const auto fleet = fleet_of(agents);
    for (std::size_t n = 0; n < restarted; ++n)
        fleet->kill_agent(n);
    fleet->run_for(seconds(1));
    for (std::size_t n = 0; n < jobs; ++n)
        fleet->submit(0, job_of(*fleet, "s" + std::to_string(n), 4));
    fleet->run_for(milliseconds(150));
    for (std::size_t n = 0; n < restarted; ++n)
        fleet->start_agent(n);
    fleet->run_for(seconds(3));
    ASSERT_EQ(fleet->record().answers.size(), jobs);
    std::vector<agent_reach> lists;
    for (const auto& it : renewals(*fleet))
    {
        if (std::find(lists.begin(), lists.end(), it->reach) == lists.end())
            lists.push_back(it->reach);
    }
    // At most one list for each agent that joins.
    EXPECT_FALSE(lists.empty());
    EXPECT_LE(lists.size(), restarted);
}

} // namespace

} // namespace lagoonquay
