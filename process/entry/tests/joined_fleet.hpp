//! Entries with complete replicas, each with its list of the others, as the
//! tests of entries that join need them.
#pragma once

#include "answered_quorum.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonquay
{

class joined_fleet : public testing::Test
{
protected:
    static constexpr duration lease = std::chrono::milliseconds(1500);

    explicit joined_fleet(std::size_t entries) : entries_(entries)
    {
        start_replicas();
    }

    static ledger_peer entry(std::size_t number)
    {
        return {{"10.0.0." + std::to_string(number), 1},
                domain_id("d" + std::to_string(number % 3)),
                false};
    }

    static member listed(const ledger_peer& it)
    {
        member_options options;
        options.role = member_role::entry;
        options.id = it.address.address;
        options.domain = it.domain;
        options.address = to_text(it.address);
        options.serving = true;
        return member(std::move(options));
    }

    void start_replicas()
    {
        replicas.clear();
        for (std::size_t n = 1; n <= entries_; ++n)
            replicas.emplace(
                entry(n).address,
                std::make_unique<ledger_replica>(
                    ledger_options{.complete = true}, clock(), wall_now));
    }

    clock_hook clock()
    {
        return [this]
        {
            return now;
        };
    }

    std::unique_ptr<entry_peers> list_of(std::size_t self)
    {
        return std::make_unique<entry_peers>(to_text(entry(self).address),
                                             2 * lease, clock());
    }

    void learn(entry_peers& list, std::size_t entries)
    {
        std::vector<member> members;
        for (std::size_t n = 1; n <= entries; ++n)
            members.push_back(listed(entry(n)));
        list.learn(members, true);
    }

    claim_outcome claim(std::size_t self, entry_peers& list,
                        const submission_id& submission)
    {
        const claim_request plain(
            {.submission = submission,
             .digest = content_digest(1),
             .dated = false,
             .holder = entry_id(std::to_string(self)),
             .holder_run = incarnation(1),
             .holder_address = to_text(entry(self).address),
             .ask = claim_sequence(1),
             .lease = lease});
        const auto request = list.tell_entries(plain);
        const auto groups =
            choose_replica_groups(submission, entry(self), list.replicas());
        claim_quorum quorum(request, groups, now);
        const auto own = entry(self).address;
        const auto step = quorum.start(replicas.at(own)->claim(request));
        return ask_all(
            quorum, step,
            [&](const endpoint& it) -> claim_answer
            { return {.vote = vote_of(it, request)}; },
            [&](const endpoint& it, const claim_vote& vote)
            { return list.note_vote(it, request, vote); });
    }

    //! Of an entry without a list, as of an earlier version.
    claim_vote vote_of(const endpoint& replica, const claim_request& request)
    {
        const auto vote = replicas.at(replica)->claim(request);
        for (const auto& [number, list] : lists)
        {
            const auto self = entry(number);
            if (self.address != replica)
                continue;
            const auto told = list->tell_entries(
                vote, request,
                [&, it = list.get()](const submission_id& submission) {
                    return choose_replica_groups(submission, self,
                                                 it->replicas());
                });
            return decode_claim_vote(encode_claim_vote(told)).value();
        }
        return vote;
    }

    //! An entry among `before` claims each submission, then the first of those
    //! that make it `after`.
    //! @param told  whether the others have told that one which are older.
    //! @return how many of 100 submissions both hold in round 1.
    std::size_t held_twice(std::size_t before, std::size_t after, bool heard,
                           bool told = false)
    {
        const auto old_list = list_of(before);
        learn(*old_list, before);
        now += std::chrono::seconds(10);
        learn(*old_list, heard ? after : before);
        const auto newcomer = before + 1;
        const auto new_list = list_of(newcomer);
        learn(*new_list, after);
        for (std::size_t n = 1; told && n <= after; ++n)
            new_list->learn_established(entry(n).address,
                                        n <= before ? old_list->established()
                                                    : first(0));
        return count_held_twice(before, *old_list, newcomer, *new_list);
    }

    //! @return how many of 100 submissions two entries both hold in round 1.
    std::size_t count_held_twice(std::size_t holder, entry_peers& holder_list,
                                 std::size_t newcomer, entry_peers& new_list)
    {
        std::size_t both = 0;
        for (std::size_t n = 0; n < 100; ++n)
        {
            const submission_id submission("job-" + std::to_string(n));
            const auto first = claim(holder, holder_list, submission);
            EXPECT_EQ(first->status, claim_status::held);
            const auto second = claim(newcomer, new_list, submission);
            both += second->status == claim_status::held &&
                            second->round == first->round
                        ? 1
                        : 0;
        }
        return both;
    }

    //! One asks another which are established, as an entry does with its
    //! question for claims and once a period after it.
    static void ask(entry_peers& list, std::size_t peer, entry_peers& asked)
    {
        list.take_answer(entry(peer).address,
                         held_claims{.established = asked.established(),
                                     .listed_for = asked.listed_for()});
    }

    static std::vector<endpoint> first(std::size_t count)
    {
        std::vector<endpoint> all;
        for (std::size_t n = 1; n <= count; ++n)
            all.push_back(entry(n).address);
        return all;
    }

    static std::size_t count_older(entry_peers& list)
    {
        const auto all = list.replicas();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                      [](const ledger_peer& it)
                                                      { return it.older; }));
    }

    instant now = instant() + std::chrono::seconds(100);
    std::map<endpoint, std::unique_ptr<ledger_replica>> replicas;
    std::map<std::size_t, std::unique_ptr<entry_peers>> lists; //!< that tell

private:
    const std::size_t entries_;
};

} // namespace lagoonquay
