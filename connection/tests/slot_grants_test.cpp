#include "lagoonquay/connection/slot_grants.hpp"

#include "lagoonquay/connection/capacity_account.hpp"
#include "lagoonquay/connection/credit_account.hpp"
#include "lagoonquay/connection/grant_pacing.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace lagoonquay
{

namespace
{

const link_number first(1);
const link_number second(2);

TEST(slot_grants, divides_idle_slots_evenly)
{
    slot_grants grants(8);
    grants.open(first);
    grants.open(second);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 2U);
    EXPECT_EQ(changed[0].credits_total, 4U);
    EXPECT_EQ(changed[1].credits_total, 4U);
}

TEST(slot_grants, never_grants_more_than_the_slots)
{
    slot_grants grants(2);
    grants.open(first);
    grants.rebalance();
    EXPECT_TRUE(grants.start(first));
    EXPECT_TRUE(grants.start(first));
    EXPECT_FALSE(grants.start(first));
    EXPECT_TRUE(grants.rebalance().empty());
    grants.finish();
    EXPECT_EQ(grants.rebalance().front().credits_total, 3U);
}

TEST(slot_grants, recalls_idle_credits_for_a_waiting_link)
{
    slot_grants grants(4);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    grants.demand(second, 3, 0);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].link, first);
    EXPECT_EQ(changed[0].recalled_total, 3U);
    grants.demand(first, 0, 3);
    EXPECT_EQ(grants.rebalance().front().credits_total, 3U);
}

TEST(slot_grants, frees_the_credits_of_a_closed_link)
{
    slot_grants grants(4);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    EXPECT_TRUE(grants.rebalance().empty());
    grants.close(first);
    EXPECT_EQ(grants.rebalance().front().credits_total, 4U);
}

TEST(slot_grants, returns_the_credit_with_the_result)
{
    slot_grants grants(1);
    grants.open(first);
    grants.rebalance();
    ASSERT_TRUE(grants.start(first));
    EXPECT_EQ(grants.finish_for(first), 2U);
    EXPECT_TRUE(grants.rebalance().empty());
}

TEST(slot_grants, moves_a_credit_to_the_link_that_misses_more)
{
    slot_grants grants(1);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    grants.demand(second, 2, 0);
    ASSERT_TRUE(grants.start(first, 1));
    EXPECT_EQ(grants.finish_for(first), std::nullopt);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].link, second);
}

// The recall crosses with a dispatch; the credit granted after it must stay.
TEST(slot_grants, a_recall_that_came_too_late_is_void)
{
    slot_grants grants(1);
    credit_account account;
    grants.open(first);
    account.update(grants.rebalance().front().credits_total, 0);
    grants.open(second);
    grants.demand(second, 1, 0);
    const auto recall = grants.rebalance();
    ASSERT_EQ(recall.front().recalled_total, 1U);
    ASSERT_TRUE(account.take());
    account.update(recall.front().credits_total, recall.front().recalled_total);
    EXPECT_FALSE(account.give_back());

    ASSERT_TRUE(grants.start(first, 3));
    grants.demand(second, 0, 0);
    const auto again = grants.finish_for(first);
    ASSERT_TRUE(again.has_value());
    account.update(*again, recall.front().recalled_total);
    EXPECT_FALSE(account.give_back());
    EXPECT_EQ(account.available(), 1U);
    EXPECT_EQ(account.returned_total(), 0U);
}

TEST(slot_grants, a_void_recall_does_not_stand_for_a_later_one)
{
    slot_grants grants(2);
    grants.open(first);
    grants.rebalance();
    grants.open(second);
    grants.demand(second, 1, 0);
    ASSERT_EQ(grants.rebalance().front().recalled_total, 1U);
    ASSERT_TRUE(grants.start(first));
    ASSERT_TRUE(grants.start(first));
    EXPECT_FALSE(grants.finish_for(first).has_value());
    ASSERT_EQ(grants.rebalance().front().link, second);
    ASSERT_TRUE(grants.start(second));
    ASSERT_TRUE(grants.finish_for(first).has_value());
    grants.demand(second, 1, 0);
    const auto changed = grants.rebalance();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].recalled_total, 2U);
}

//! An entry and its link's two directions; messages wait until delivered.
struct fake_entry
{
    link_number link;
    credit_account credits;
    std::uint32_t waiting = 0;
    std::uint32_t told = 0;
    std::deque<link_grant> to_entry;
    std::deque<demand_message> to_agent; //!< a dispatch if `is_dispatch`
    std::deque<bool> is_dispatch;
};

//! One agent with several entries; every delivery is one random step.
class credit_session
{
public:
    credit_session(std::uint64_t seed, std::uint32_t slots)
        : draw_(seed), grants_(slots)
    {
        for (std::uint64_t n = 1; n <= 3; ++n)
        {
            entries_.emplace_back().link = link_number(n);
            grants_.open(link_number(n));
        }
        spread();
    }

    void step()
    {
        auto& it = entries_[draw_() % entries_.size()];
        switch (draw_() % 5)
        {
        case 0:
            it.waiting += draw_() % 50 == 0 ? 12 : 0;
            return work(it);
        case 1:
            return deliver_to_entry(it);
        case 2:
            return finish_one(it);
        default:
            return deliver_to_agent(it);
        }
    }

    //! Lets everything that waits run to its end.
    bool settles()
    {
        for (int n = 0; n < 20000 && !idle(); ++n)
        {
            for (auto& it : entries_)
            {
                work(it);
                deliver_to_agent(it);
                deliver_to_entry(it);
                finish_one(it);
            }
        }
        return idle();
    }

    std::uint64_t in_use() const
    {
        std::uint64_t n = grants_.running();
        for (const auto& it : entries_)
        {
            n += it.credits.available();
            n += std::count(it.is_dispatch.begin(), it.is_dispatch.end(), true);
        }
        return n;
    }
    std::uint64_t refused() const
    {
        return refused_;
    }

private:
    void work(fake_entry& it)
    {
        while (it.waiting > 0 && it.credits.take())
        {
            --it.waiting;
            it.told = it.waiting;
            it.to_agent.push_back({it.told, 0});
            it.is_dispatch.push_back(true);
        }
        if (it.told == it.waiting)
            return;
        it.told = it.waiting;
        send_demand(it);
    }

    void send_demand(fake_entry& it)
    {
        it.to_agent.push_back({it.told, it.credits.returned_total()});
        it.is_dispatch.push_back(false);
    }

    void deliver_to_entry(fake_entry& it)
    {
        if (it.to_entry.empty())
            return;
        const auto grant = it.to_entry.front();
        it.to_entry.pop_front();
        it.credits.update(grant.credits_total, grant.recalled_total);
        if (it.credits.give_back())
            send_demand(it);
    }

    void deliver_to_agent(fake_entry& it)
    {
        if (it.to_agent.empty())
            return;
        const auto message = it.to_agent.front();
        const bool dispatch = it.is_dispatch.front();
        it.to_agent.pop_front();
        it.is_dispatch.pop_front();
        if (!dispatch)
            grants_.demand(it.link, message.wanted, message.returned_total);
        else if (grants_.start(it.link, message.wanted))
            running_.push_back(it.link);
        else
            ++refused_;
        spread();
    }

    void finish_one(fake_entry& it)
    {
        const auto found = std::find(running_.begin(), running_.end(), it.link);
        if (found == running_.end())
            return;
        running_.erase(found);
        if (const auto total = grants_.finish_for(it.link))
            it.to_entry.push_back(
                {it.link, *total, grants_.totals(it.link).recalled_total});
        spread();
    }

    void spread()
    {
        for (const auto& it : grants_.rebalance())
            entries_[it.link.number() - 1].to_entry.push_back(it);
    }

    bool idle() const
    {
        return std::all_of(entries_.begin(), entries_.end(),
                           [](const auto& it)
                           { return it.waiting == 0 && it.to_agent.empty(); });
    }

    std::mt19937_64 draw_;
    slot_grants grants_;
    std::vector<fake_entry> entries_;
    std::vector<link_number> running_;
    std::uint64_t refused_ = 0;
};

TEST(slot_grants, several_entries_never_share_more_than_the_slots)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        credit_session session(seed, 8);
        for (int n = 0; n < 4000; ++n)
        {
            session.step();
            ASSERT_LE(session.in_use(), 8U) << "seed " << seed;
        }
        EXPECT_TRUE(session.settles()) << "seed " << seed;
        EXPECT_EQ(session.refused(), 0U) << "seed " << seed;
    }
}

TEST(grant_pacing, repeats_only_an_old_stamp_or_a_change)
{
    grant_pacing pacing({.stamp_age = std::chrono::seconds(10)});
    grant_message grant;
    grant.accepting = true;
    EXPECT_TRUE(pacing.due(grant));
    pacing.sent(grant);
    grant.agent_time += std::chrono::seconds(9);
    EXPECT_FALSE(pacing.due(grant));
    auto stopped = grant;
    stopped.accepting = false;
    EXPECT_TRUE(pacing.due(stopped));
    grant.agent_time += std::chrono::seconds(1);
    EXPECT_TRUE(pacing.due(grant));
}

TEST(capacity_account, holds_the_sum_of_needs_below_the_capacity)
{
    capacity_account account;
    account.resize({4000, 1000, 1});
    EXPECT_TRUE(account.reserve({3000, 100, 1}));
    EXPECT_FALSE(account.reserve({500, 100, 1}));
    EXPECT_TRUE(account.reserve({1000, 100, 0}));
    account.release({3000, 100, 1});
    EXPECT_TRUE(account.reserve({500, 100, 1}));
}

TEST(slot_grants, is_drained_once_no_link_can_dispatch)
{
    slot_grants grants(4);
    grants.open(first);
    grants.open(second);
    grants.rebalance();
    EXPECT_TRUE(grants.start(first));
    EXPECT_FALSE(grants.drained());
    grants.drain();
    const auto recalled = grants.rebalance();
    ASSERT_EQ(recalled.size(), 2U);
    EXPECT_EQ(recalled[0].recalled_total, 1U);
    EXPECT_EQ(recalled[1].recalled_total, 2U);
    grants.demand(first, 5, 1);
    grants.finish();
    EXPECT_FALSE(grants.drained());
    EXPECT_TRUE(grants.start(second));
    grants.finish();
    EXPECT_FALSE(grants.drained());
    grants.close(second);
    EXPECT_TRUE(grants.drained());
    EXPECT_TRUE(grants.rebalance().empty());
}

} // namespace

} // namespace lagoonquay
