#include "lagoonquay/process/control_replica.hpp"

#include "fake_log_reader.hpp"

#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace lagoonquay
{

namespace
{

const cluster_number cluster(1);
const node_id self("a-1");
const node_id second("b-1");
const domain_id south("south-1");

const membership
    three({.members = {{self, replica_id("a"), "a", true},
                       {second, replica_id("b"), "b", true},
                       {node_id("c-1"), replica_id("c"), "c", true}}});

command take_out()
{
    return command({.id = command_id("1"),
                    .author = "ann",
                    .expected = std::nullopt,
                    .what = set_domain{south, false}});
}

//! One replica with a disk and a network that the test plays.
class control_replica_test : public testing::Test
{
protected:
    control_replica_test()
        : replica_({.name = replica_id("a"),
                    .address = "a",
                    .peers = {"b", "c"},
                    .recovery_period = std::chrono::milliseconds(1)},
                   hooks(), self, first_log())
    {
    }

    static stored_log first_log()
    {
        return {{cluster, term_number(1), std::nullopt},
                nullptr,
                {{log_index(1), term_number(1), three}}};
    }

    control_replica_hooks hooks()
    {
        control_replica_hooks given;
        given.now = [this]
        {
            const std::lock_guard lock(mutex_);
            return now_;
        };
        given.draw = [](std::uint32_t)
        {
            return 0U;
        };
        given.draw_cluster = []
        {
            return cluster;
        };
        given.store =
            [this](const std::vector<log_write>&) -> process_result<void>
        {
            const std::lock_guard lock(mutex_);
            if (disk_full_)
                return fail(process_errc::storage, "disk full");
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        };
        given.recover = [this]() -> process_result<stored_log>
        {
            const std::lock_guard lock(mutex_);
            if (disk_full_)
                return fail(process_errc::storage, "disk full");
            return first_log();
        };
        given.send = [this](const std::string&, const replica_message& it)
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back(it);
            changed_.notify_all();
        };
        given.greet = [](const std::string&, const replica_greeting&) {
        };
        given.forward = [this](const std::string& to, const command&,
                               const answer_hook& done)
        {
            forwarded_to_ = to;
            done(command_answer{});
        };
        return given;
    }

    void fill_disk(bool full)
    {
        const std::lock_guard lock(mutex_);
        disk_full_ = full;
    }

    void pass(duration time)
    {
        const std::lock_guard lock(mutex_);
        now_ += time;
    }

    void hear_leader(std::vector<log_entry> entries, std::uint64_t previous,
                     std::uint64_t commit)
    {
        replica_.receive({"b",
                          {{cluster, second, self,
                            append_request{.term = term_number(2),
                                           .previous = log_index(previous),
                                           .previous_term = term_number(
                                               previous > 1 ? 2 : 1),
                                           .entries = std::move(entries),
                                           .commit = log_index(commit),
                                           .ready = true}}}});
    }

    //! Waits for the replica's storage thread.
    void wait_for_acknowledgement(std::uint64_t index)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(
            lock,
            [&]
            {
                for (const auto& it : sent_)
                {
                    const auto* reply = std::get_if<append_reply>(&it.body);
                    if (reply != nullptr && reply->match == log_index(index))
                        return true;
                }
                return false;
            });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    instant now_{std::chrono::seconds(100)};
    bool disk_full_ = false;
    std::vector<replica_message> sent_;
    std::string forwarded_to_;
    control_replica replica_;
};

TEST_F(control_replica_test, votes_only_once_caught_up)
{
    EXPECT_FALSE(replica_.vote({}));
    hear_leader({}, 1, 2);
    EXPECT_FALSE(replica_.vote({}));
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 2);
    const auto vote = replica_.vote({});
    ASSERT_TRUE(vote);
    EXPECT_EQ(vote->version, version_number(1));
    EXPECT_TRUE((*vote->view)->out_domains.contains(south));
    EXPECT_FALSE(replica_.vote(version_number(1))->view);
}

TEST_F(control_replica_test, an_uncommitted_out_shows_in_its_votes)
{
    hear_leader({{log_index(2), term_number(2), no_operation{}}}, 1, 2);
    hear_leader({{log_index(3), term_number(2), take_out()}}, 2, 2);
    const auto vote = replica_.vote({});
    ASSERT_TRUE(vote);
    EXPECT_EQ(vote->version, version_number(0));
    EXPECT_EQ(vote->pending_out, std::set<domain_id>{south});
}

TEST_F(control_replica_test, votes_go_on_through_an_election_for_a_while)
{
    hear_leader({{log_index(2), term_number(2), no_operation{}}}, 1, 2);
    for (int n = 0; n < 50; ++n)
    {
        pass(control_replica::tick_period);
        replica_.tick();
        EXPECT_TRUE(replica_.vote({}));
    }
    EXPECT_FALSE(replica_.state().decisions.leader);
    pass(std::chrono::seconds(5));
    EXPECT_FALSE(replica_.vote({}));
}

// A frozen process misses its ticks, but not the time.
TEST_F(control_replica_test, one_that_was_frozen_does_not_vote_when_it_wakes)
{
    hear_leader({{log_index(2), term_number(2), no_operation{}}}, 1, 2);
    pass(std::chrono::seconds(60));
    EXPECT_FALSE(replica_.vote({}));
}

TEST_F(control_replica_test, a_leader_that_is_found_is_logged_and_counted)
{
    fake_log_reader log;
    open_log({.format = log_format::json_lines, .process = "a"}, log.output());
    hear_leader({}, 1, 1);
    hear_leader({}, 1, 1);
    close_log();
    const auto lines = log.events("leader_known");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].at("leader"), "b");
    EXPECT_EQ(lines[0].at("leads"), "no");
    EXPECT_EQ(lines[0].at("term"), "2");
    EXPECT_EQ(replica_.state().leader_changes, 1U);
}

TEST_F(control_replica_test, passes_commands_on_once)
{
    version_result<command_answer> answer = command_answer{};
    const auto keep = [&](const version_result<command_answer>& it)
    {
        answer = it;
    };
    replica_.propose(take_out(), true, keep);
    EXPECT_EQ(answer.error().code, version_errc::not_leader);
    hear_leader({}, 1, 1);
    replica_.propose(take_out(), true, keep);
    EXPECT_EQ(forwarded_to_, "b");
    replica_.propose(take_out(), false, keep);
    EXPECT_EQ(answer.error().detail, "the leader is b");
}

TEST_F(control_replica_test, a_resend_is_answered_by_any_replica)
{
    pass(std::chrono::seconds(5)); // long after the start
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 2);
    command_answer answer;
    replica_.propose(take_out(), false,
                     [&](const version_result<command_answer>& it)
                     { answer = it.value(); });
    EXPECT_EQ(answer.outcome.version, version_number(1));
    EXPECT_EQ(answer.in_force_after, permit_duration);
    pass(permit_duration);
    replica_.tick();
    EXPECT_EQ(replica_.state().in_force_after, duration());
}

TEST_F(control_replica_test, acknowledges_once_stored)
{
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 1);
    wait_for_acknowledgement(2);
}

TEST_F(control_replica_test, takes_part_again_once_its_disk_has_room)
{
    fill_disk(true);
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 2);
    while (replica_.state().storage_error.empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    fill_disk(false);
    while (!replica_.state().storage_error.empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_FALSE(replica_.vote({}));
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 2);
    wait_for_acknowledgement(2);
    EXPECT_TRUE(replica_.vote({}));
}

TEST_F(control_replica_test, a_full_disk_ends_its_votes_and_its_answers)
{
    fill_disk(true);
    hear_leader({{log_index(2), term_number(2), take_out()}}, 1, 2);
    while (replica_.state().storage_error.empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_TRUE(sent_.empty());
    EXPECT_FALSE(replica_.vote({}));
    version_result<command_answer> answer = command_answer{};
    replica_.propose(take_out(), true,
                     [&](const version_result<command_answer>& it)
                     { answer = it; });
    EXPECT_EQ(answer.error().code, version_errc::storage);
}

} // namespace

} // namespace lagoonquay
