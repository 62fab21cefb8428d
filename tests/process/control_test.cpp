// Control replicas that are killed, frozen, wiped and damaged under commands.
#include "fleet.hpp"
#include "lagoonquay/request/json_fields.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>

namespace fs = std::filesystem;
namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr fleet_options replicas_only{.controls = 3, .entries = 0, .agents = 0};
constexpr int no_exit_expected = 0;

//! Three replicas and the commands that they acknowledged.
class control_test : public testing::Test
{
protected:
    control_test()
    {
        for (std::size_t n = 0; n < 3; ++n)
            fleet_.start(fleet_.control(n));
        EXPECT_TRUE(fleet::eventually([&] { return whole().has_value(); }));
    }

    json::object state(std::size_t n)
    {
        const auto answer =
            fleet_.get(fleet_.control_operators(n), "/v1/state");
        if (!answer)
            return {};
        return parse_json(answer->body).value().as_object();
    }

    json::object log_of(std::size_t n)
    {
        const auto found = state(n);
        return found.empty() ? json::object() : found.at("log").as_object();
    }

    //! @return the leader, if it holds that every replica has the log.
    std::optional<std::size_t> whole()
    {
        for (std::size_t n = 0; n < 3; ++n)
        {
            const auto log = log_of(n);
            if (!log.empty() && log.at("whole").as_bool())
                return n;
        }
        return std::nullopt;
    }

    //! Waits for a leader that holds that every replica has the log.
    std::size_t leader()
    {
        std::optional<std::size_t> found;
        EXPECT_TRUE(fleet::eventually(
            [&]
            {
                found = whole();
                return found.has_value();
            }));
        return found.value_or(0);
    }

    std::uint64_t version(std::size_t n)
    {
        const auto found = state(n);
        return found.empty() ? 0
                             : found.at("version").to_number<std::uint64_t>();
    }

    static command take_out(unsigned number)
    {
        const auto text = std::to_string(number);
        return command({.id = command_id("c" + text),
                        .author = "ann",
                        .expected = std::nullopt,
                        .what = set_domain{domain_id("d" + text), false}});
    }

    std::optional<command_answer> send(std::size_t n, const command& asked)
    {
        const auto answer = fleet_.post(fleet_.control_operators(n),
                                        "/v1/commands", encode_command(asked));
        if (!answer || answer->status == http_status::unavailable)
            return std::nullopt;
        return decode_command_answer(answer->body).value();
    }

    //! Resends to one replica after the other until there is an answer.
    //! @param first  a replica that is not frozen: that one would not answer.
    command_answer commit(const command& asked, std::size_t first = 0)
    {
        std::optional<command_answer> answer;
        std::size_t n = first;
        EXPECT_TRUE(fleet::eventually(
            [&]
            {
                answer = send(n++ % 3, asked);
                return answer.has_value();
            }));
        if (answer)
            acknowledged_.emplace_back(asked, answer->outcome);
        return answer.value_or(command_answer());
    }

    void commit_many(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n)
            commit(take_out(next_++));
    }

    //! Every replica has every acknowledged command, and a resend of each
    //! gets the first answer.
    void expect_nothing_lost()
    {
        for (std::size_t n = 0; n < 3; ++n)
            EXPECT_TRUE(fleet::eventually(
                [&] { return version(n) == acknowledged_.size(); }))
                << "replica " << n << " has " << version(n);
        for (std::size_t n = 0; n < acknowledged_.size(); n += 7)
            EXPECT_EQ(commit_again(n), acknowledged_[n].second);
    }

    command_outcome commit_again(std::size_t n)
    {
        const auto answer = send(n % 3, acknowledged_[n].first);
        return answer ? answer->outcome : command_outcome();
    }

    void kill(std::size_t n)
    {
        fleet_.control(n).process->signal(SIGKILL);
        fleet_.control(n).process->wait();
    }

    void restart(std::size_t n)
    {
        fleet_.start(fleet_.control(n));
    }

    void wipe(std::size_t n)
    {
        kill(n);
        fs::remove_all(fleet_.data_folder(n));
        restart(n);
    }

    //! Waits until the repair of a replica is reported done: by itself, as
    //! nobody else knows of its new data folder at first, and by the leader.
    bool repaired(std::size_t n)
    {
        return fleet::eventually(
            [&]
            {
                const auto log = log_of(n);
                return !log.empty() && log.at("votes").as_bool() &&
                       whole().has_value();
            });
    }

    fs::path log_file(std::size_t n)
    {
        for (const auto& it : fs::directory_iterator(fleet_.data_folder(n)))
        {
            if (it.path().filename().string().starts_with("log-"))
                return it.path();
        }
        return {};
    }

    fleet fleet_{replicas_only};
    std::vector<std::pair<command, command_outcome>> acknowledged_;
    unsigned next_ = 0;
};

TEST_F(control_test, a_killed_leader_loses_no_acknowledged_command)
{
    for (int round = 0; round < 3; ++round)
    {
        commit_many(10);
        const auto lead = leader();
        kill(lead);
        commit_many(10);
        restart(lead);
        EXPECT_TRUE(fleet::eventually([&] { return whole().has_value(); }));
    }
    expect_nothing_lost();
}

TEST_F(control_test, a_frozen_leader_wakes_and_commits_nothing_of_its_own)
{
    commit_many(5);
    const auto lead = leader();
    fleet_.control(lead).process->signal(SIGSTOP);
    const auto other = (lead + 1) % 3;
    EXPECT_TRUE(fleet::eventually(
        [&]
        {
            const auto log = log_of(other);
            return !log.empty() && log.at("leader").as_string() != "" &&
                   send(other, take_out(next_)).has_value();
        }));
    commit(take_out(next_++), other); // the resend gets the first answer
    fleet_.control(lead).process->signal(SIGCONT);
    commit_many(5);
    expect_nothing_lost();
}

TEST_F(control_test, a_second_loss_right_after_a_repair_loses_nothing)
{
    commit_many(20);
    const auto lead = leader();
    wipe((lead + 1) % 3);
    ASSERT_TRUE(repaired((lead + 1) % 3));
    const auto second = leader();
    wipe(second);
    EXPECT_TRUE(repaired(second));
    expect_nothing_lost();
}

TEST_F(control_test, a_wiped_replica_does_not_make_a_quorum)
{
    const auto lead = leader();
    const auto lagging = (lead + 1) % 3;
    const auto holder = (lead + 2) % 3;
    kill(lagging);
    commit_many(5);
    kill(lead);
    wipe(holder);
    restart(lagging);
    EXPECT_TRUE(fleet::eventually([&] { return !log_of(lagging).empty(); }));
    // Longer than an election takes: neither may lead or answer a heartbeat.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    for (const auto n : {lagging, holder})
    {
        EXPECT_NE(log_of(n).at("role").as_string(), "leader");
        EXPECT_FALSE(log_of(n).at("votes").as_bool());
    }
    restart(lead);
    EXPECT_TRUE(fleet::eventually([&] { return whole().has_value(); }));
    expect_nothing_lost();
}

TEST_F(control_test, a_damaged_log_is_refused_with_file_and_offset)
{
    commit_many(10);
    const auto lead = leader();
    const auto n = (lead + 1) % 3;
    kill(n);
    const auto damaged = log_file(n);
    std::fstream(damaged, std::ios::in | std::ios::out | std::ios::binary)
            .seekp(static_cast<std::streamoff>(fs::file_size(damaged) / 2))
        << '#';
    restart(n);
    EXPECT_NE(fleet_.control(n).process->wait(), no_exit_expected);
    commit_many(3);
    wipe(n);
    EXPECT_TRUE(repaired(n));
    expect_nothing_lost();
}

TEST_F(control_test, a_truncated_log_is_refused)
{
    commit_many(10);
    const auto n = (leader() + 1) % 3;
    kill(n);
    fs::resize_file(log_file(n), fs::file_size(log_file(n)) - 40);
    restart(n);
    EXPECT_NE(fleet_.control(n).process->wait(), no_exit_expected);
}

TEST_F(control_test, all_restart_after_hundreds_of_commands)
{
    commit_many(300);
    for (std::size_t n = 0; n < 3; ++n)
        kill(n);
    for (std::size_t n = 0; n < 3; ++n)
        restart(n);
    EXPECT_TRUE(fleet::eventually([&] { return whole().has_value(); }));
    expect_nothing_lost();
}

TEST_F(control_test, sigterm_hands_leadership_over_and_exits_with_0)
{
    const auto lead = leader();
    const auto term = log_of(lead).at("term").to_number<std::uint64_t>();
    fleet_.control(lead).process->signal(SIGTERM);
    EXPECT_EQ(fleet_.control(lead).process->wait(), 0);
    commit_many(1);
    const auto other = log_of((lead + 1) % 3);
    EXPECT_EQ(other.at("term").to_number<std::uint64_t>(), term + 1);
}

// A majority of votes is there at every moment between two leaders.
TEST_F(control_test, permit_votes_go_on_through_an_election)
{
    commit_many(3);
    const auto lead = leader();
    const std::vector<std::size_t> others{(lead + 1) % 3, (lead + 2) % 3};
    const permit_request beat{member({.role = member_role::agent,
                                      .id = "agent-1",
                                      .domain = domain_id("south-1")}),
                              version_number(0)};
    kill(lead);
    const auto leads = [&](std::size_t n)
    {
        return log_of(n).at("role").as_string() == "leader";
    };
    std::size_t votes = 0;
    EXPECT_TRUE(fleet::eventually(
        [&]
        {
            for (const auto n : others)
            {
                const auto answer =
                    fleet_.post(fleet_.control_members(n), "/v1/heartbeat",
                                encode_permit_request(beat));
                EXPECT_TRUE(answer && answer->status == http_status::ok);
                const auto reply = decode_permit_reply(answer->body);
                EXPECT_EQ(reply.value().vote->version, version_number(3));
                ++votes;
            }
            return leads(others[0]) || leads(others[1]);
        }));
    EXPECT_GT(votes, 2U);
}

TEST_F(control_test, one_of_two_racing_commands_wins_and_out_says_when)
{
    const auto racing = [](const std::string& author)
    {
        return command({.id = command_id(author),
                        .author = author,
                        .expected = version_number(0),
                        .what = set_domain{domain_id("d"), false}});
    };
    const auto first = send(0, racing("ann"));
    const auto second = send(1, racing("ben"));
    ASSERT_TRUE(first && second);
    EXPECT_TRUE(first->outcome.accepted);
    EXPECT_GT(first->in_force_after, duration());
    EXPECT_LE(first->in_force_after, permit_duration);
    EXPECT_FALSE(second->outcome.accepted);
    EXPECT_EQ(second->outcome.author, "ann");
}

} // namespace

} // namespace lagoonquay
