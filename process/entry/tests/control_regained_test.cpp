// Lists of control's replicas whose tables of members are young: after a cut
// between control and all entries, and after a restart of all of control.
#include "answered_quorum.hpp"
#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/member_table.hpp"
#include "permit_rounds.hpp"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <vector>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration lease = milliseconds(1500);
constexpr duration member_silence = seconds(3);
constexpr std::size_t entries = 3;
constexpr std::size_t controls = 3;

endpoint control_address(std::size_t n)
{
    return {"10.1.0." + std::to_string(n + 1), 1};
}

endpoint entry_address(std::size_t n)
{
    return {"10.0.0." + std::to_string(n + 1), 1};
}

replica_id control_name(std::size_t n)
{
    return replica_id("control-" + std::to_string(n));
}

entry_id entry_name(std::size_t n)
{
    return entry_id("entry-" + std::to_string(n));
}

domain_id domain_of(std::size_t n)
{
    return domain_id("d" + std::to_string(n));
}

replica_set control_replicas()
{
    membership_options all;
    for (std::size_t n = 0; n < controls; ++n)
        all.members.push_back({.node = {},
                               .name = control_name(n),
                               .address = to_text(control_address(n)),
                               .voter = true});
    replica_set found;
    found.index = log_index(1);
    found.all = membership(std::move(all));
    return found;
}

//! An entry's list of the others, as the entry's process keeps it.
struct listing_entry
{
    std::unique_ptr<entry_peers> peers;
    std::unique_ptr<permit_rounds> rounds;
    std::unique_ptr<ledger_replica> ledger;
    std::optional<instant> contact;
};

//! Entries that send heartbeats to control, each at a phase of its own.
class control_regained : public testing::Test
{
protected:
    control_regained()
    {
        for (std::size_t n = 0; n < controls; ++n)
            tables.push_back(std::make_unique<member_table>(incarnation(1)));
        for (std::size_t n = 0; n < entries; ++n)
            add(n);
    }

    void add(std::size_t n)
    {
        const auto clock = [this]
        {
            return now;
        };
        auto& it = fleet[n];
        it.peers = std::make_unique<entry_peers>(to_text(entry_address(n)),
                                                 2 * lease, clock);
        it.ledger =
            std::make_unique<ledger_replica>(ledger_options{.complete = true},
                                             clock, [] { return wall_time(); });
        it.rounds = std::make_unique<permit_rounds>(
            permit_client_hooks{
                .now = clock,
                .self = [n] { return self(n); },
                .known = [] { return fleet_view(); },
                .set_permit = [](const permit&) {},
                .heard = [&it, this] { it.contact = now; },
                .learn =
                    [&it, this](const std::vector<member>&,
                                const std::vector<member>& listed)
                {
                    const bool in_touch =
                        it.contact && now - *it.contact <= permit_duration;
                    it.peers->learn(listed, in_touch);
                }},
            std::vector<endpoint>{});
        std::vector<endpoint> first;
        for (std::size_t k = 0; k < controls; ++k)
            first.push_back(control_address(k));
        it.rounds->set_first(std::move(first));
    }

    static member self(std::size_t n)
    {
        member_options it;
        it.role = member_role::entry;
        it.id = entry_name(n).text();
        it.run = incarnation(1);
        it.domain = domain_of(n);
        it.address = to_text(entry_address(n));
        it.serving = true;
        return member(std::move(it));
    }

    //! Entry `n` is the first to send after times that are a multiple of 500
    //! ms and 100 ms for each entry before it.
    void run_until(instant end)
    {
        for (; now < end; now += milliseconds(50))
        {
            for (std::size_t n = 0; n < entries; ++n)
            {
                const auto phase = milliseconds(100) * (n + 1);
                if ((now - instant()) % milliseconds(500) == phase)
                    beat(n);
            }
        }
    }

    void beat(std::size_t n)
    {
        const auto round = fleet[n].rounds->take_round();
        if (!round || !reachable)
            return;
        for (std::size_t k = 0; k < controls; ++k)
        {
            const auto asked = fleet[n].rounds->heartbeat(control_address(k));
            tables[k]->note({asked.sender, asked.known}, now);
            tables[k]->forget_silent(member_silence, now);
            permit_reply reply;
            if (votes)
                reply.vote = permit_vote{.replica = control_name(k),
                                         .version = {},
                                         .view = std::nullopt,
                                         .pending_out = {},
                                         .pending_drains = {}};
            reply.replicas = control_replicas();
            reply.members = tables[k]->since(asked.known_members);
            fleet[n].rounds->take(*round, control_address(k), reply);
        }
    }

    void restart_control()
    {
        for (auto& it : tables)
            it = std::make_unique<member_table>(incarnation(2));
    }

    claim_outcome claim(std::size_t self, const submission_id& submission)
    {
        const claim_request plain(
            {.submission = submission,
             .digest = content_digest(1),
             .dated = false,
             .holder = entry_name(self),
             .holder_run = incarnation(1),
             .holder_address = to_text(entry_address(self)),
             .ask = claim_sequence(1),
             .lease = lease});
        const auto request = fleet[self].peers->tell_entries(plain);
        const auto groups = groups_of(self, submission);
        claim_quorum quorum(request, groups, now);
        const auto step = quorum.start(fleet[self].ledger->claim(request));
        return ask_all(
            quorum, step,
            [&](const endpoint& it) { return answer(it, request); },
            [&](const endpoint& it, const claim_vote& vote)
            { return fleet[self].peers->note_vote(it, request, vote); });
    }

    std::vector<replica_group> groups_of(std::size_t self,
                                         const submission_id& submission)
    {
        return choose_replica_groups(
            submission, {entry_address(self), domain_of(self), false},
            fleet[self].peers->replicas());
    }

    claim_answer answer(const endpoint& to, const claim_request& request)
    {
        for (std::size_t n = 0; n < entries; ++n)
        {
            if (entry_address(n) != to ||
                fleet[n].peers->is_unlisted(request->holder,
                                            request->holder_run))
                continue;
            return {.vote = fleet[n].peers->tell_entries(
                        fleet[n].ledger->claim(request), request,
                        [&](const submission_id& submission)
                        { return groups_of(n, submission); })};
        }
        return {};
    }

    instant now = instant() + seconds(100);
    bool reachable = true; //!< whether control is
    bool votes = true;
    std::vector<std::unique_ptr<member_table>> tables;
    std::map<std::size_t, listing_entry> fleet;
};

} // namespace

// Guards against an entry that is the first to reach control after a cut of
// all entries from it: each replica names this entry alone, and the third
// answer comes when two others have made a majority.
TEST_F(control_regained, leaves_an_entry_its_peers_after_a_cut_of_all)
{
    run_until(instant() + seconds(110));
    ASSERT_EQ(fleet[0].peers->current().size(), entries - 1);
    reachable = false;
    run_until(instant() + seconds(114));
    reachable = true;
    run_until(instant() + seconds(114) + milliseconds(150));
    EXPECT_EQ(fleet[0].peers->current().size(), entries - 1);
    const submission_id submission("job");
    const auto first = claim(0, submission);
    const auto second = claim(2, submission);
    EXPECT_FALSE(first->status == claim_status::held &&
                 second->status == claim_status::held &&
                 first->round == second->round)
        << "two holders of round " << first->round.number();
}

// Guards against entries that get no votes after a restart of all of control
// that took less than a permit lasts.
TEST_F(control_regained, refuses_no_living_entry_after_a_restart_of_control)
{
    run_until(instant() + seconds(110));
    reachable = false;
    run_until(instant() + seconds(111));
    restart_control();
    reachable = true;
    votes = false; // until a leader is chosen
    for (int n = 0; n < 20; ++n)
    {
        run_until(now + milliseconds(50));
        EXPECT_EQ(
            claim(n % entries, submission_id("j" + std::to_string(n)))->status,
            claim_status::held)
            << "entry " << n % entries << " at " << (n + 1) * 50 << " ms";
    }
}

} // namespace lagoonquay
