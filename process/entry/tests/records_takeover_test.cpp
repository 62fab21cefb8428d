// Pages of records that a young replica takes from its peers.
#include "lagoonquay/process/records_takeover.hpp"

#include "virtual_time.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint first_peer{"10.0.0.1", 1};
const endpoint second_peer{"10.0.0.2", 1};
const endpoint third_peer{"10.0.0.3", 1};

struct asked_page
{
    endpoint peer;
    std::uint64_t first_shard = 0;
    peer_records_hook done;
};

class records_takeover_test : public testing::Test
{
protected:
    records_takeover_hooks hooks()
    {
        return {.now = [this] { return time.now(); },
                .after = [this](duration delay, std::function<void()> work)
                { time.after(delay, std::move(work)); },
                .ask_for_page =
                    [this](const endpoint& peer, std::uint64_t first_shard,
                           peer_records_hook done) {
                        asked.push_back({peer, first_shard, std::move(done)});
                    },
                .restore =
                    [this](const ledger_record&)
                {
                    ++restored;
                }};
    }

    void run_for(duration span)
    {
        time.run_until(time.now() + span);
    }

    //! Answers the page that was asked for first.
    void answer(const std::optional<peer_records>& page)
    {
        auto it = asked.front();
        asked.erase(asked.begin());
        it.done(page);
    }

    static peer_records page(std::optional<std::uint64_t> next)
    {
        return {.records = {ledger_record(ledger_record_options{})},
                .next = next};
    }

    virtual_time time;
    std::vector<asked_page> asked;
    int restored = 0;
    records_takeover takeover{{}, hooks()};
};

// Guards against a transfer that begins anew each time its link is slow.
TEST_F(records_takeover_test, goes_on_where_it_was_broken_off)
{
    takeover.take_from({first_peer});
    answer(page(7));
    run_for(milliseconds(1));
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].first_shard, 7U);
    answer(std::nullopt);
    run_for(seconds(1));
    takeover.take_from({first_peer});
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].first_shard, 7U);
    answer(page(std::nullopt));
    EXPECT_TRUE(takeover.has_all(first_peer));
    EXPECT_EQ(restored, 2);
}

// Guards against bulk that fills a link.
TEST_F(records_takeover_test, asks_few_peers_at_a_time_and_rests_after_a_page)
{
    takeover.take_from({first_peer, second_peer, third_peer});
    EXPECT_EQ(asked.size(), 2U);
    run_for(milliseconds(40));
    answer(page(std::nullopt));
    run_for(milliseconds(39));
    EXPECT_EQ(asked.size(), 1U);
    run_for(milliseconds(1));
    ASSERT_EQ(asked.size(), 2U);
    EXPECT_EQ(asked[1].peer, third_peer);
}

// Guards against a retry that adds to the load that made it fail.
TEST_F(records_takeover_test, waits_longer_after_each_page_that_did_not_come)
{
    takeover.take_from({first_peer});
    for (const auto wait : {100, 200, 400, 800, 1000, 1000})
    {
        answer(std::nullopt);
        run_for(milliseconds(wait - 1));
        takeover.take_from({first_peer});
        EXPECT_TRUE(asked.empty()) << wait;
        run_for(milliseconds(1));
        takeover.take_from({first_peer});
        ASSERT_EQ(asked.size(), 1U) << wait;
    }
}

TEST_F(records_takeover_test, counts_no_page_of_before_a_restart)
{
    takeover.take_from({first_peer});
    takeover.restart();
    answer(page(std::nullopt));
    EXPECT_FALSE(takeover.has_all(first_peer));
    run_for(milliseconds(1));
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].first_shard, 0U);
}

TEST_F(records_takeover_test, asks_for_nothing_after_its_end)
{
    takeover.take_from({first_peer});
    takeover.end();
    answer(page(3));
    run_for(seconds(2));
    EXPECT_TRUE(asked.empty());
}

} // namespace

} // namespace lagoonquay
