#include "lagoonquay/process/permit_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/heard_members.hpp"
#include "lagoonquay/process/heartbeat_pacing.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "permit";

// Without a permit for this long, the first replicas are asked as well.
constexpr duration ask_widely_after = std::chrono::seconds(1);

std::size_t voters_of(const membership& all)
{
    const auto n =
        std::count_if(all->members.begin(), all->members.end(),
                      [](const replica_member& it) { return it.voter; });
    return static_cast<std::size_t>(n);
}

bool counts(const membership& all, const permit_vote& vote) noexcept
{
    const auto* it = find_name(all, vote.replica);
    return it != nullptr && it->voter;
}

} // namespace

//! What all rounds share: the replicas and when a majority answered last.
class permit_rounds
{
public:
    permit_rounds(permit_client_hooks hooks, std::vector<endpoint> first)
        : hooks_(std::move(hooks)), first_(std::move(first))
    {
    }

    const permit_client_hooks& hooks() const noexcept
    {
        return hooks_;
    }

    void set_first(std::vector<endpoint> first)
    {
        const std::lock_guard lock(mutex_);
        first_ = std::move(first);
    }

    log_index known_replicas() const
    {
        const std::lock_guard lock(mutex_);
        return replicas_.index;
    }

    std::vector<endpoint> targets() const
    {
        const std::lock_guard lock(mutex_);
        std::set<endpoint> found;
        for (const auto& it : replicas_.all->members)
        {
            if (const auto address = parse_endpoint(it.address))
                found.insert(address.value());
        }
        const bool lost =
            !granted_ || hooks_.now() - *granted_ > ask_widely_after;
        if (lost)
            found.insert(first_.begin(), first_.end());
        return {found.begin(), found.end()};
    }

    members_mark known_members(const endpoint& replica) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = members_.find(replica);
        return found == members_.end() ? members_mark() : found->second.mark();
    }

    void learn_members(const endpoint& replica, const member_changes& changes)
    {
        std::vector<member> agents;
        std::vector<member> entries;
        {
            const std::lock_guard lock(mutex_);
            auto& heard = members_[replica];
            heard.apply(changes);
            agents = heard.agents();
            entries = heard.entries();
        }
        if (hooks_.learn && !(agents.empty() && entries.empty()))
            hooks_.learn(agents, entries);
    }

    bool take_round()
    {
        const std::lock_guard lock(mutex_);
        return pacing_.take(hooks_.now());
    }

    void learn(const replica_set& heard)
    {
        const std::lock_guard lock(mutex_);
        if (heard.index > replicas_.index)
            replicas_ = heard;
    }

    membership replicas() const
    {
        const std::lock_guard lock(mutex_);
        return replicas_.all;
    }

    void hold(const permit& granted, instant sent)
    {
        bool regained = false;
        {
            const std::lock_guard lock(mutex_);
            granted_ = std::max(granted_.value_or(sent), sent);
            pacing_.granted();
            regained = std::exchange(lost_, false);
        }
        if (regained)
            write_event(
                log_level::info, part, {}, "control_regained",
                {{"answered_in_ms", milliseconds_of(hooks_.now() - sent)}});
        hooks_.hold(granted);
    }

    //! Notes when no majority has answered for as long as a permit lasts.
    void notice_loss()
    {
        std::int64_t silent_ms = -1;
        {
            const std::lock_guard lock(mutex_);
            const auto now = hooks_.now();
            if (lost_ || !granted_ || now - *granted_ <= permit_duration)
                return;
            lost_ = true;
            silent_ms = milliseconds_of(now - *granted_);
        }
        write_event(log_level::warning, part, {}, "control_lost",
                    {{"silent_ms", silent_ms}});
    }

private:
    const permit_client_hooks hooks_;
    mutable std::mutex mutex_;
    std::vector<endpoint> first_;
    replica_set replicas_;
    std::map<endpoint, heard_members> members_;
    heartbeat_pacing pacing_;
    std::optional<instant> granted_;
    bool lost_ = false;
};

namespace
{

//! One round of heartbeats; holds the permit as soon as a majority answers,
//! and again with each further vote.
class heartbeat_round
{
public:
    heartbeat_round(std::shared_ptr<permit_rounds> rounds, instant sent)
        : rounds_(std::move(rounds)), sent_(sent)
    {
    }

    // The majority is that of the newest replicas heard of. Replicas change
    // one at a time, so two neighbouring sets have no majorities apart.
    void add(const endpoint& replica, const permit_reply& reply)
    {
        if (reply.replicas)
            rounds_->learn(*reply.replicas);
        rounds_->learn_members(replica, reply.members);
        const auto& hooks = rounds_->hooks();
        if (!reply.vote)
            return;
        const std::lock_guard lock(mutex_);
        votes_.push_back(*reply.vote);
        const auto replicas = rounds_->replicas();
        std::vector<permit_vote> counted;
        for (const auto& it : votes_)
        {
            if (counts(replicas, it))
                counted.push_back(it);
        }
        const auto merged =
            merge_votes(counted, voters_of(replicas), hooks.known(), sent_);
        if (merged)
            rounds_->hold(*merged, sent_);
    }

private:
    const std::shared_ptr<permit_rounds> rounds_;
    const instant sent_;
    std::mutex mutex_;
    std::vector<permit_vote> votes_;
};

void on_answer(heartbeat_round& round, const endpoint& replica,
               connection_result<http_response> answer)
{
    if (!answer || answer.value().status != http_status::ok)
        return;
    const auto reply = decode_permit_reply(answer.value().body);
    if (!reply)
        return write_log(log_level::warning, part,
                         "Reply not decodable: " + reply.error().detail + ".");
    round.add(replica, reply.value());
}

http_request heartbeat(const permit_request& asked)
{
    return {.method = http_method::post,
            .path = "/v1/heartbeat",
            .query = {},
            .body = encode_permit_request(asked),
            .bearer = {}};
}

} // namespace

permit_client::permit_client(http_client& client, permit_client_options options,
                             permit_client_hooks hooks)
    : client_(client), options_(std::move(options)),
      rounds_(
          std::make_shared<permit_rounds>(std::move(hooks), options_.replicas))
{
}

permit_client::~permit_client() = default;

void permit_client::set_replicas(std::vector<endpoint> replicas)
{
    rounds_->set_first(std::move(replicas));
}

void permit_client::tick()
{
    rounds_->notice_loss();
    if (!rounds_->take_round())
        return;
    const auto& hooks = rounds_->hooks();
    permit_request asked{
        hooks.self(), hooks.known()->version, rounds_->known_replicas(), {}};
    const auto round = std::make_shared<heartbeat_round>(rounds_, hooks.now());
    for (const auto& it : rounds_->targets())
    {
        asked.known_members = rounds_->known_members(it);
        client_.send(it, heartbeat(asked), options_.timeout,
                     [round, it](connection_result<http_response> answer)
                     { on_answer(*round, it, std::move(answer)); });
    }
}

} // namespace lagoonquay
