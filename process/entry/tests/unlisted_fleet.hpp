//! Entries of which one is cut off from control, as the tests of unlisted
//! entries need them.
#pragma once

#include "answered_quorum.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <memory>
#include <set>

namespace lagoonquay
{

constexpr duration lease = std::chrono::milliseconds(1500);

inline ledger_peer entry(std::size_t number)
{
    return {{"10.0.0." + std::to_string(number), 1},
            domain_id("d" + std::to_string(number % 3)),
            false};
}

inline entry_id id_of(std::size_t number)
{
    return entry_id("entry-" + std::to_string(number));
}

//! What became of the jobs of one count.
struct held_count
{
    std::size_t once = 0;  //!< held by the entry that is cut off
    std::size_t twice = 0; //!< of these, held by a listed one in that round
};

constexpr std::size_t jobs_each = 100;

//! A new entry, which never heard of one that was unlisted just before it came,
//! takes no job for about as long.
constexpr duration start_time = std::chrono::seconds(1);

inline member listed(std::size_t number)
{
    member_options options;
    options.role = member_role::entry;
    options.id = id_of(number).text();
    options.run = incarnation(1);
    options.domain = entry(number).domain;
    options.address = to_text(entry(number).address);
    options.serving = true;
    return member(std::move(options));
}

//! Entries with complete replicas. The last of the first ones is cut off from
//! control, and from nobody else; others are lost and replaced.
class unlisted_entry : public testing::Test
{
protected:
    void begin(std::size_t entries)
    {
        replicas.clear();
        lists.clear();
        fleet.clear();
        for (std::size_t n = 1; n <= entries; ++n)
            add(n);
        cut_off = entries;
        last = entries;
        run_of_cut_off = incarnation(1);
        learn_all();
        now += std::chrono::seconds(10);
        learn_all();
        fleet.erase(cut_off);
        learn_all();
    }

    void add(std::size_t number)
    {
        const auto clock = [this]
        {
            return now;
        };
        fleet.insert(number);
        joined_at[number] = now;
        replicas[entry(number).address] =
            std::make_unique<ledger_replica>(ledger_options{.complete = true},
                                             clock, [] { return wall_time(); });
        lists[number] = std::make_unique<entry_peers>(
            to_text(entry(number).address), 2 * lease, clock);
    }

    //! Control's list reaches every entry that it names.
    void learn_all()
    {
        std::vector<member> members;
        for (const auto n : fleet)
            members.push_back(listed(n));
        for (const auto n : fleet)
            lists[n]->learn(members, true);
        ask_which_are_counted();
    }

    //! As an entry does once a period when it is no longer new.
    void ask_which_are_counted()
    {
        for (const auto n : fleet)
        {
            if (lists[n]->listed_for() <= 2 * lease)
                continue;
            for (const auto& it : lists[n]->to_ask_for_established())
                lists[n]->take_answer(it, list_at(it).with_entries({}));
        }
    }

    void wait(duration span)
    {
        for (const auto end = now + span; now < end;)
        {
            now += std::min(duration(std::chrono::milliseconds(500)),
                            duration(end - now));
            learn_all();
        }
    }

    //! The first entry that is left is lost, and a new one joins.
    void replace_one()
    {
        const auto lost = *fleet.begin();
        fleet.erase(lost);
        replicas.erase(entry(lost).address);
        add(++last);
        take_records(last);
        learn_all();
    }

    //! A new entry in the place of the one that is cut off.
    void join_one()
    {
        add(++last);
        take_records(last);
        learn_all();
    }

    //! A new entry's replica is complete once it has the others' records.
    void take_records(std::size_t young)
    {
        for (const auto n : fleet)
        {
            if (n == young)
                continue;
            const auto told =
                replicas.at(entry(n).address)
                    ->recent_records(0,
                                     std::numeric_limits<std::size_t>::max());
            for (const auto& it : told.records)
                replicas.at(entry(young).address)->restore_record(it);
        }
    }

    claim_outcome claim(std::size_t self, const submission_id& submission)
    {
        const claim_request plain(
            {.submission = submission,
             .digest = content_digest(1),
             .dated = false,
             .holder = id_of(self),
             .holder_run = self == cut_off ? run_of_cut_off : incarnation(1),
             .holder_address = to_text(entry(self).address),
             .ask = claim_sequence(1),
             .lease = lease});
        const auto own = entry(self);
        const auto request = lists[self]->tell_entries(plain);
        const auto groups =
            choose_replica_groups(submission, own, lists[self]->replicas());
        claim_quorum quorum(request, groups, now);
        bool local = false;
        for (const auto& it : groups)
            local = local || it.local;
        const auto step = quorum.start(
            local ? std::optional(replicas.at(own.address)->claim(request))
                  : std::nullopt);
        return ask_all(
            quorum, step,
            [&](const endpoint& it) { return answer(it, request); },
            [&](const endpoint& it, const claim_vote& vote)
            { return lists[self]->note_vote(it, request, vote); });
    }

    claim_answer answer(const endpoint& to, const claim_request& request)
    {
        const auto found = replicas.find(to);
        if (found == replicas.end() ||
            list_at(to).is_unlisted(request->holder, request->holder_run))
            return {};
        auto& list = list_at(to);
        return {.vote = list.tell_entries(
                    found->second->claim(request), request,
                    [&](const submission_id& submission)
                    {
                        return choose_replica_groups(
                            submission, entry(number_at(to)), list.replicas());
                    })};
    }

    std::size_t number_at(const endpoint& address) const
    {
        for (const auto& [number, list] : lists)
        {
            if (entry(number).address == address)
                return number;
        }
        return 0;
    }

    entry_peers& list_at(const endpoint& address)
    {
        for (const auto& [number, list] : lists)
        {
            if (entry(number).address == address)
                return *list;
        }
        return *lists.begin()->second;
    }

    //! The entry that is cut off claims new jobs, then each other one does that
    //! did not join just now.
    held_count count_held()
    {
        held_count found;
        for (std::size_t n = 0; n < jobs_each; ++n)
        {
            const submission_id submission("job-" + std::to_string(++jobs));
            const auto first = claim(cut_off, submission);
            if (first->status != claim_status::held)
                continue;
            ++found.once;
            for (const auto it : fleet)
            {
                if (it == cut_off || now - joined_at[it] <= start_time)
                    continue;
                const auto second = claim(it, submission);
                if (second->status == claim_status::held &&
                    second->round == first->round)
                {
                    ++found.twice;
                    break;
                }
            }
        }
        return found;
    }

    //! A listed entry's next process begins; its replica is complete.
    void restart(std::size_t number)
    {
        add(number);
        learn_all();
    }

    //! The other listed entries tell one which they know as established.
    void tell_established(std::size_t to)
    {
        for (const auto n : fleet)
        {
            if (n != to)
                lists[to]->learn_established(entry(n).address,
                                             lists[n]->established());
        }
    }

    //! @return how many of 100 new jobs two entries both hold in one round.
    std::size_t count_held_by_both(std::size_t one, std::size_t other)
    {
        std::size_t both = 0;
        for (std::size_t n = 0; n < jobs_each; ++n)
        {
            const submission_id submission("job-" + std::to_string(++jobs));
            const auto first = claim(one, submission);
            EXPECT_EQ(first->status, claim_status::held);
            const auto second = claim(other, submission);
            both += second->status == claim_status::held &&
                            second->round == first->round
                        ? 1
                        : 0;
        }
        return both;
    }

    instant now = instant() + std::chrono::seconds(100);
    std::map<endpoint, std::unique_ptr<ledger_replica>> replicas;
    std::map<std::size_t, std::unique_ptr<entry_peers>> lists;
    std::set<std::size_t> fleet; //!< that control lists
    std::size_t cut_off = 0;
    std::size_t last = 0;
    std::size_t jobs = 0;
    std::map<std::size_t, instant> joined_at;
    incarnation run_of_cut_off{1};
};

} // namespace lagoonquay
