// Single rules of one replica, driven message by message.
#include "lagoonquay/version/replica.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

const cluster_number cluster(1);
const node_id self("a-1");
const node_id second("b-1");
const node_id third("c-1");

const membership three({.members = {{self, replica_id("a"), "a", true},
                                    {second, replica_id("b"), "b", true},
                                    {third, replica_id("c"), "c", true}}});

command take_out(const std::string& id)
{
    return command({.id = command_id(id),
                    .author = {},
                    .expected = std::nullopt,
                    .what = set_domain{domain_id(id), false}});
}

//! A replica in term 2 that has stored one uncommitted entry of term 2.
class one_replica
{
public:
    one_replica()
        : replica_({.self = self},
                   {[](std::uint32_t)
                    {
                        return 0U;
                    }},
                   {{cluster, term_number(2), std::nullopt},
                    nullptr,
                    {{log_index(1), term_number(1), three},
                     {log_index(2), term_number(2), take_out("old")}}})
    {
    }

    replica_output receive(const node_id& from, replica_message_body body)
    {
        replica_.receive({cluster, from, self, std::move(body)});
        return replica_.take_output();
    }

    replica_output become_leader()
    {
        for (std::uint32_t n = 0; n < 10; ++n)
            replica_.tick();
        replica_.take_output();
        receive(second, vote_reply{term_number(3), true, true});
        return receive(second, vote_reply{term_number(3), false, true});
    }

    replica& operator*()
    {
        return replica_;
    }

private:
    replica replica_;
};

append_reply stored_to(std::uint64_t index)
{
    return {term_number(3), true, log_index(index), log_index(index)};
}

// A process that has just started hears a living leader within two ticks.
TEST(replica_rules, the_first_election_of_a_process_comes_soon)
{
    one_replica it;
    (*it).tick();
    (*it).tick();
    EXPECT_TRUE((*it).take_output().messages.empty());
    (*it).tick();
    EXPECT_EQ((*it).take_output().messages.size(), 2U);
    (*it).tick();
    (*it).tick();
    (*it).tick();
    EXPECT_TRUE((*it).take_output().messages.empty());
}

TEST(replica_rules, a_leader_that_is_heard_is_given_the_whole_time)
{
    one_replica it;
    it.receive(second, append_request{.term = term_number(2),
                                      .previous = log_index(2),
                                      .previous_term = term_number(2)});
    for (int n = 0; n < 9; ++n)
        (*it).tick();
    EXPECT_TRUE((*it).take_output().messages.empty());
    (*it).tick();
    EXPECT_EQ((*it).take_output().messages.size(), 2U);
}

vote_request trial_of(std::uint64_t last)
{
    return {.term = term_number(3),
            .last = log_index(last),
            .last_term = term_number(2),
            .trial = true};
}

bool grants(const replica_output& output)
{
    const auto* reply =
        std::get_if<vote_reply>(&output.messages.back().message.body);
    return reply != nullptr && reply->granted;
}

TEST(replica_rules, of_two_that_ask_at_once_the_lower_one_goes_first)
{
    one_replica it;
    EXPECT_TRUE(grants(it.receive(second, trial_of(2))));
    for (int n = 0; n < 3; ++n)
        (*it).tick();
    (*it).take_output();
    EXPECT_FALSE(grants(it.receive(second, trial_of(2))));
    EXPECT_TRUE(grants(it.receive(second, trial_of(3))));
}

TEST(replica_rules, an_old_term_commits_only_with_an_entry_of_the_new)
{
    one_replica it;
    const auto led = it.become_leader();
    ASSERT_TRUE((*it).leads());
    (*it).stored(led.write->sequence);
    EXPECT_TRUE(it.receive(second, stored_to(2)).committed.empty());
    EXPECT_EQ(it.receive(second, stored_to(3)).committed.size(), 3);
}

TEST(replica_rules, a_leader_counts_itself_only_once_synced)
{
    one_replica it;
    const auto led = it.become_leader();
    EXPECT_TRUE(it.receive(second, stored_to(3)).committed.empty());
    (*it).stored(led.write->sequence);
    EXPECT_EQ((*it).take_output().committed.size(), 3);
}

TEST(replica_rules, a_write_that_was_cut_does_not_count_for_its_successor)
{
    one_replica it;
    append_request longer{
        .term = term_number(2),
        .previous = log_index(2),
        .previous_term = term_number(2),
        .entries = {{log_index(3), term_number(2), take_out("cut")}},
        .commit = {},
        .ready = false};
    const auto early = it.receive(third, longer).write->sequence;
    // Another leader replaces entry 2, then this replica leads.
    append_request other{
        .term = term_number(2),
        .previous = log_index(1),
        .previous_term = term_number(1),
        .entries = {{log_index(2), term_number(3), take_out("new")}},
        .commit = {},
        .ready = false};
    other.term = term_number(3);
    it.receive(second, other);
    for (std::uint32_t n = 0; n < 10; ++n)
        (*it).tick();
    (*it).take_output();
    it.receive(second, vote_reply{term_number(4), true, true});
    it.receive(second, vote_reply{term_number(4), false, true});
    ASSERT_TRUE((*it).leads());
    (*it).stored(early);
    append_reply acknowledged = stored_to(3);
    acknowledged.term = term_number(4);
    EXPECT_TRUE(it.receive(second, acknowledged).committed.empty());
}

TEST(replica_rules, one_change_of_members_at_a_time)
{
    one_replica it;
    const auto led = it.become_leader();
    (*it).stored(led.write->sequence);
    it.receive(second, stored_to(3));
    const auto pass_time = [&]
    {
        for (std::uint32_t n = 0; n < 10; ++n)
        {
            (*it).tick();
            it.receive(second, stored_to(3));
        }
    };
    pass_time();
    (*it).on_join({node_id("c-2"), replica_id("c"), "c", false});
    pass_time(); // the first change stays uncommitted
    (*it).on_join({node_id("c-3"), replica_id("c"), "c", false});
    const auto& members = (*it).log().members();
    EXPECT_NE(find_node(members, node_id("c-2")), nullptr);
    EXPECT_FALSE(is_voter(members, node_id("c-2")));
    EXPECT_EQ(find_node(members, node_id("c-3")), nullptr);
}

TEST(replica_rules, a_live_member_is_not_replaced)
{
    one_replica it;
    const auto led = it.become_leader();
    (*it).stored(led.write->sequence);
    it.receive(second, stored_to(3));
    for (std::uint32_t n = 0; n < 9; ++n)
        (*it).tick();
    (*it).on_join({node_id("c-2"), replica_id("c"), "c", false});
    (*it).tick();
    it.receive(second, stored_to(3));
    (*it).on_join({node_id("c-2"), replica_id("c"), "elsewhere", false});
    EXPECT_EQ((*it).log().members(), three);
}

TEST(replica_rules, a_restarted_replica_is_not_caught_up_at_once)
{
    one_replica it;
    EXPECT_FALSE((*it).status().caught_up);
    append_request beat{.term = term_number(3),
                        .previous = log_index(2),
                        .previous_term = term_number(2),
                        .entries = {},
                        .commit = log_index(3),
                        .ready = true};
    it.receive(second, beat);
    EXPECT_FALSE((*it).status().caught_up);
    beat.entries = {{log_index(3), term_number(3), no_operation{}}};
    it.receive(second, beat);
    EXPECT_EQ((*it).status().commit, log_index(3));
    EXPECT_TRUE((*it).status().caught_up);
}

TEST(replica_rules, pending_entries_forbid_and_do_not_allow)
{
    const command back({.id = command_id("2"),
                        .author = {},
                        .expected = std::nullopt,
                        .what = set_domain{domain_id("old"), true}});
    one_replica it;
    (*it).receive(
        {cluster, second, self,
         append_request{.term = term_number(2),
                        .previous = log_index(2),
                        .previous_term = term_number(2),
                        .entries = {{log_index(3), term_number(2), back}},
                        .commit = {},
                        .ready = false}});
    EXPECT_EQ(limits_of((*it).uncommitted()).out,
              std::set<domain_id>{domain_id("old")});
}

} // namespace

} // namespace lagoonquay
