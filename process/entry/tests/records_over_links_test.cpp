// A young replica takes records over links with a rate, beside claims.
#include "rated_links.hpp"

#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/held_claims_http.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_records_http.hpp"
#include "lagoonquay/process/ledger_recovery.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/replica_group.hpp"

#include <gtest/gtest.h>
#include <iostream>
#include <optional>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration lease = milliseconds(1500);
constexpr duration recovery_period = milliseconds(20);
constexpr duration claim_period = milliseconds(10);
constexpr duration claim_timeout = seconds(10);
//! The least time after which a claim asks another replica.
constexpr duration claim_patience = milliseconds(60);

constexpr std::size_t jobs_per_entry = 40; //!< a second
//! Of each entry, for a lease after they were claimed.
constexpr std::size_t held_jobs =
    jobs_per_entry * static_cast<std::size_t>(lease / milliseconds(1)) / 1000;
//! As a replica that takes records over.
constexpr duration young_time = milliseconds(700);

constexpr duration restart_gap = seconds(1);

const std::string held_path = "/v1/ledger/held";

struct old_fleet_options
{
    std::size_t entries = 12;
    std::size_t agents = 68;
    std::size_t jobs_per_second = 12 * jobs_per_entry; //!< of the whole fleet
    //! Whether the others tell over the links which claims they hold. If not,
    //! they hold none and are heard at once.
    bool tells_held_claims = false;
    //! Of the other entries, began anew as well: they are asked again and
    //! again for the claims that they hold.
    std::size_t young = 0;
    rated_links_options links;
};

endpoint address_of(std::size_t entry)
{
    return {"10.0.0." + std::to_string(entry + 1), 7000};
}

//! Entries that have served for a while, one of which begins anew.
class old_fleet
{
public:
    explicit old_fleet(const old_fleet_options& options)
        : options_(options), links_(time_, options.links),
          reaches_(options.entries, reach()), held_(options.entries)
    {
        for (std::size_t n = 0; n < options_.entries; ++n)
        {
            replicas_.push_back(std::make_unique<ledger_replica>(
                ledger_options{.complete = n != 0},
                [this] { return time_.now(); }, wall_now));
            links_.serve(address_of(n), [this, n](const http_request& it)
                         { return answer(n, it); });
        }
        claim_jobs();
    }

    //! Lets entry 0 begin anew and claim jobs at the others meanwhile.
    void begin_anew(duration patience)
    {
        started_ = time_.now();
        recovery_.emplace(ledger_recovery_options{}, hooks());
        tick();
        claim(0);
        time_.run_until(started_ + patience);
    }

    //! @return time from the start to its end, if it has ended.
    std::optional<duration> complete_after() const
    {
        return complete_after_;
    }
    duration longest_claim() const
    {
        return longest_claim_;
    }
    std::size_t unanswered_claims() const
    {
        return claims_sent_ - claims_answered_;
    }
    //! @return bytes of claims that the others hold; received_bytes() has them
    //! too.
    std::size_t held_bytes() const
    {
        return held_bytes_;
    }
    std::size_t received_bytes() const
    {
        return links_.received(address_of(0));
    }

private:
    agent_reach reach() const
    {
        agent_reach::list agents;
        for (std::uint64_t n = 0; n < options_.agents; ++n)
            agents.push_back({agent_id("side-long-an-" + std::to_string(n)),
                              incarnation(8'000'000'000'000'000'000 + n)});
        return agent_reach(agents);
    }

    claim_request claim_of(std::size_t job) const
    {
        const auto holder = 1 + job % (options_.entries - 1);
        return claim_request(
            {.submission = submission_id("684685a3b2af" + std::to_string(job)),
             .digest = content_digest(8'000'000'000'000'000'000 + job),
             .dated = false,
             .holder = entry_id("frontend-long-an-" + std::to_string(holder)),
             .holder_run = incarnation(8'000'000'000'000'000'000 + holder),
             .holder_address = to_text(address_of(holder)),
             .ask = claim_sequence(job),
             .lease = lease,
             .reach = reaches_[holder]});
    }

    // What a fleet claims until a record needn't be told any more, each job at
    // the first three of its group.
    void claim_jobs()
    {
        const std::chrono::duration<double> kept =
            lease + ledger_options().max_undated_resubmission_delay;
        const auto jobs = static_cast<std::size_t>(
            static_cast<double>(options_.jobs_per_second) * kept.count());
        std::vector<ledger_peer> peers;
        for (std::size_t n = 1; n < options_.entries; ++n)
            peers.push_back(peer(n));
        for (std::size_t job = 0; job < jobs; ++job)
        {
            const auto asked = claim_of(job);
            auto& held = held_[1 + job % (options_.entries - 1)];
            if (held.size() < held_jobs)
                held.push_back(asked);
            const auto groups =
                choose_replica_groups(asked->submission, peer(0), peers);
            for (std::size_t n = 0;
                 n < std::min<std::size_t>(3, groups[0].others.size()); ++n)
                replicas_[number_of(groups[0].others[n])]->claim(asked);
        }
    }

    static ledger_peer peer(std::size_t entry)
    {
        return {.address = address_of(entry),
                .domain = domain_id("d" + std::to_string(entry % 3))};
    }

    std::size_t number_of(const endpoint& address) const
    {
        for (std::size_t n = 0; n < options_.entries; ++n)
        {
            if (address_of(n) == address)
                return n;
        }
        return 0;
    }

    record_scope scope() const
    {
        std::vector<ledger_peer> peers;
        for (std::size_t n = 1; n < options_.entries; ++n)
            peers.push_back(peer(n));
        return make_record_scope(peer(0), peers);
    }

    http_response answer(std::size_t entry, const http_request& it)
    {
        const std::string records = "/v1/ledger/records/";
        if (it.path == "/v1/ledger/claim")
            return claim_response(*replicas_[entry], it.body, {});
        if (it.path == held_path)
            return held_claims_of(entry, it);
        return ledger_records_response(*replicas_[entry], it,
                                       it.path.substr(records.size()));
    }

    http_response held_claims_of(std::size_t entry, const http_request& asked)
    {
        const bool settled =
            entry > options_.young || time_.now() >= started_ + young_time;
        auto told = held_claims_response(
            asked, {.settled = settled, .claims = held_[entry]});
        held_bytes_ += told.body.size();
        return told;
    }

    ledger_recovery_hooks hooks()
    {
        return {.now = [this] { return time_.now(); },
                .peers =
                    [this]
                {
                    std::vector<endpoint> peers;
                    for (std::size_t n = 1; n < options_.entries; ++n)
                        peers.push_back(address_of(n));
                    return peers;
                },
                .ask =
                    [this](const endpoint& it, const held_claims_hook& done)
                {
                    if (options_.tells_held_claims)
                        return request_held_claims(
                            links_.sender(address_of(0)), it, reaches_of_peers_,
                            [] { return true; }, done);
                    done(held_claims{.settled = true});
                },
                .restore_claim = [this](const claim_request& it)
                { replicas_[0]->restore_claim(it); },
                .ask_for_records =
                    [this](const endpoint& it, std::uint64_t first_shard,
                           const peer_records_hook& done)
                {
                    request_ledger_records(
                        links_.sender(address_of(0)), it, scope(), first_shard,
                        reaches_of_peers_, [] { return true; }, done);
                },
                .restore_record = [this](const ledger_record& it)
                { replicas_[0]->restore_record(it); },
                .after = [this](duration delay, std::function<void()> work)
                { time_.after(delay, std::move(work)); },
                .no_stray_runs = [] { return true; },
                .done =
                    [this](const ledger_completion& it)
                {
                    complete_after_ = it.after;
                }};
    }

    void tick()
    {
        recovery_->tick();
        time_.after(recovery_period, [this] { tick(); });
    }

    void claim(std::size_t number)
    {
        const auto sent = time_.now();
        ++claims_sent_;
        links_.sender(address_of(0))(
            address_of(1 + number % (options_.entries - 1)),
            {.method = http_method::post,
             .path = "/v1/ledger/claim",
             .query = {},
             .body = encode_claim_request(claim_of(1'000'000 + number)),
             .bearer = {}},
            claim_timeout,
            [this, sent](const connection_result<http_response>&)
            {
                ++claims_answered_;
                longest_claim_ = std::max(longest_claim_, time_.now() - sent);
            });
        time_.after(claim_period, [this, number] { claim(number + 1); });
    }

    const old_fleet_options options_;
    virtual_time time_;
    rated_links links_;
    std::vector<agent_reach> reaches_;
    std::vector<std::vector<claim_request>> held_; //!< by each entry
    std::size_t held_bytes_ = 0;
    known_reaches reaches_of_peers_;
    std::vector<std::unique_ptr<ledger_replica>> replicas_;
    std::optional<ledger_recovery> recovery_;
    instant started_{};
    std::optional<duration> complete_after_;
    duration longest_claim_{};
    std::size_t claims_sent_ = 0;
    std::size_t claims_answered_ = 0;
};

double in_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Guards against restarts in turn that take service to nothing.
TEST(records_over_links, come_before_the_next_entry_is_restarted)
{
    old_fleet fleet({});
    fleet.begin_anew(seconds(6));
    ASSERT_TRUE(fleet.complete_after())
        << fleet.received_bytes() << " bytes came";
    EXPECT_LT(in_ms(*fleet.complete_after()), in_ms(restart_gap))
        << fleet.received_bytes() << " bytes came";
}

// Guards against the same where entries that began just before are asked for
// their claims over and over.
TEST(records_over_links, come_in_time_beside_others_that_began_anew)
{
    old_fleet fleet({.tells_held_claims = true, .young = 3});
    fleet.begin_anew(seconds(6));
    ASSERT_TRUE(fleet.complete_after())
        << fleet.received_bytes() << " bytes came";
    std::cout << fleet.held_bytes() << " bytes of claims that others hold\n";
    EXPECT_LT(in_ms(*fleet.complete_after()), in_ms(young_time + restart_gap));
    EXPECT_LT(in_ms(fleet.longest_claim()), in_ms(claim_patience));
}

// Guards against a start that fills its link with claims of others.
TEST(records_over_links, come_in_time_with_the_claims_that_others_hold)
{
    for (const std::size_t entries : {12U, 30U, 100U})
    {
        old_fleet fleet({.entries = entries,
                         .jobs_per_second = entries * jobs_per_entry,
                         .tells_held_claims = true});
        fleet.begin_anew(seconds(6));
        const auto complete = fleet.complete_after().value_or(seconds(6));
        std::cout << entries << " entries: " << fleet.received_bytes()
                  << " bytes, " << fleet.held_bytes()
                  << " of held claims, complete after " << in_ms(complete)
                  << " ms, longest claim " << in_ms(fleet.longest_claim())
                  << " ms\n";
        EXPECT_LT(in_ms(complete), in_ms(restart_gap));
        EXPECT_LT(in_ms(fleet.longest_claim()), in_ms(claim_patience));
    }
}

// Prints what docs/CAPACITY.md states.
TEST(records_over_links, come_in_time_at_any_size)
{
    for (const std::size_t entries : {12U, 30U, 100U})
    {
        old_fleet fleet(
            {.entries = entries, .jobs_per_second = entries * jobs_per_entry});
        fleet.begin_anew(seconds(6));
        std::cout << entries << " entries: " << fleet.received_bytes()
                  << " bytes, complete after "
                  << in_ms(fleet.complete_after().value_or(seconds(6)))
                  << " ms, longest claim " << in_ms(fleet.longest_claim())
                  << " ms\n";
        EXPECT_LT(in_ms(fleet.complete_after().value_or(seconds(6))),
                  in_ms(restart_gap));
    }
}

// Guards against claims that go unanswered beside a takeover.
TEST(records_over_links, keep_no_claim_waiting)
{
    old_fleet fleet({});
    fleet.begin_anew(seconds(2));
    EXPECT_LT(in_ms(fleet.longest_claim()), in_ms(claim_patience))
        << fleet.unanswered_claims() << " without an answer";
}

} // namespace

} // namespace lagoonquay
