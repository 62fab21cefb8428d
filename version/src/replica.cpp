#include "lagoonquay/version/replica.hpp"

#include <algorithm>

namespace lagoonquay
{

std::size_t approximate_bytes(const replica_message& message) noexcept
{
    std::size_t bytes = 512;
    if (const auto* it = std::get_if<append_request>(&message.body))
    {
        for (const auto& entry : it->entries)
            bytes += approximate_bytes(entry);
    }
    if (const auto* it = std::get_if<snapshot_chunk>(&message.body))
        bytes += it->data.size();
    return bytes;
}

term_number term_of(const replica_message& message) noexcept
{
    return std::visit([](const auto& it) { return it.term; }, message.body);
}

replica::replica(replica_options options, replica_hooks hooks,
                 const stored_log& stored)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      state_(stored.state), log_(stored.base, stored.entries),
      own_match_(log_.last())
{
    if (stored.base)
    {
        commit_ = stored.base->index;
        output_.restore = stored.base;
    }
    timeout_ticks_ =
        options_.first_election_ticks + hooks_.draw(options_.election_ticks);
}

// Every first member writes the same entry, so the logs agree from the start.
void replica::bootstrap(cluster_number cluster, const membership& members)
{
    if (!empty())
        return;
    state_.cluster = cluster;
    set_term(term_number(1), std::nullopt);
    put({log_index(1), state_.term, members});
}

void replica::tick()
{
    if (role_ == replica_role::leader)
        tick_leader();
    else
        tick_follower();
}

void replica::receive(const replica_message& message)
{
    if (!admits(message))
        return;
    const auto term = term_of(message);
    const auto* asked = std::get_if<vote_request>(&message.body);
    const auto* reply = std::get_if<vote_reply>(&message.body);
    // A replica that hears from its leader does not help to depose it.
    if (asked != nullptr && !asked->hand_over && knows_live_leader())
        return;
    const bool trial = (asked != nullptr && asked->trial) ||
                       (reply != nullptr && reply->trial && reply->granted);
    if (!trial && term > state_.term)
        become_follower(term, std::nullopt);
    std::visit([&](const auto& it) { on(message.from, it); }, message.body);
}

// Messages name one life of a data folder: what an earlier life acknowledged
// or was asked never counts for the next one.
bool replica::admits(const replica_message& message)
{
    if (message.to != options_.self)
        return false;
    if (!empty())
        return message.cluster == state_.cluster;
    const auto& body = message.body;
    if (!std::holds_alternative<append_request>(body) &&
        !std::holds_alternative<snapshot_chunk>(body))
        return false;
    state_.cluster = message.cluster;
    open_write();
    return true;
}

void replica::stored(std::uint64_t sequence)
{
    while (!writing_.empty() && writing_.front().sequence <= sequence)
    {
        own_match_ = std::max(own_match_, writing_.front().last);
        writing_.pop_front();
    }
    if (role_ == replica_role::leader)
        advance_commit();
}

bool replica::propose(const command& asked)
{
    if (role_ != replica_role::leader || handing_over_)
        return false;
    append(asked);
    return true;
}

replica_output replica::take_output()
{
    if (output_.write)
    {
        output_.write->state = state_;
        writing_.push_back({sequence_, log_.last()});
    }
    replica_output taken = std::move(output_);
    output_ = {};
    return taken;
}

bool replica::leads() const noexcept
{
    return role_ == replica_role::leader;
}

const std::optional<node_id>& replica::leader() const noexcept
{
    return leader_;
}

term_number replica::term() const noexcept
{
    return state_.term;
}

bool replica::caught_up() const noexcept
{
    return caught_up_;
}

bool replica::empty() const noexcept
{
    return state_.cluster == cluster_number();
}

log_status replica::status() const
{
    log_status found{.role = role_,
                     .state = state_,
                     .leader = leader_,
                     .commit = commit_,
                     .last = log_.last(),
                     .members = log_.members(),
                     .voter = is_voter(log_.members(), options_.self),
                     .caught_up = caught_up_,
                     .changing_members = log_.members_index() > commit_};
    for (const auto& [node, it] : followers_)
        found.followers.emplace(node,
                                follower_status{it.match, it.silent_ticks});
    return found;
}

const memory_log& replica::log() const noexcept
{
    return log_;
}

std::vector<log_entry> replica::uncommitted() const
{
    return log_.slice(log_index(commit_.number() + 1),
                      log_.last().number() - commit_.number());
}

void replica::send(const node_id& to, replica_message_body body,
                   bool after_write)
{
    const bool waits = after_write && (output_.write || !writing_.empty());
    output_.messages.push_back(
        {{state_.cluster, options_.self, to, std::move(body)},
         waits ? sequence_ : 0});
}

log_write& replica::open_write()
{
    if (!output_.write)
        output_.write = log_write{.sequence = ++sequence_};
    return *output_.write;
}

// Where an entry replaces others, what earlier writes have stored of those
// does not count for the new ones.
void replica::put(log_entry entry)
{
    const log_index before(entry.index.number() - 1);
    own_match_ = std::min(own_match_, before);
    for (auto& it : writing_)
        it.last = std::min(it.last, before);
    auto& entries = open_write().entries;
    std::erase_if(entries,
                  [&](const log_entry& it) { return it.index >= entry.index; });
    entries.push_back(entry);
    log_.put(std::move(entry));
}

void replica::set_term(term_number term, std::optional<node_id> vote)
{
    state_.term = term;
    state_.vote = std::move(vote);
    open_write();
}

} // namespace lagoonquay
