#include "control_replica_core.hpp"

#include "lagoonquay/process/log.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "replica";
constexpr std::uint32_t greeting_ticks = 5;
constexpr std::uint32_t heard_ticks = 5; // longest silence of a live replica

replica_options decision_options(const control_replica_options& from,
                                 const node_id& self)
{
    replica_options options;
    options.self = self;
    options.voters = from.voters;
    options.replace_ticks = static_cast<std::uint32_t>(
        from.replace_after / control_replica::tick_period);
    return options;
}

version_result<command_answer> failed_answer(version_errc code,
                                             const std::string& detail)
{
    return fail(code, detail);
}

} // namespace

control_replica_core::control_replica_core(
    control_replica_options options,
    std::shared_ptr<const control_replica_hooks> hooks, node_id node,
    const stored_log& stored)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      node_(std::move(node)), started_(hooks_->now()),
      decisions_(decision_options(options_, node_), {hooks_->draw}, stored),
      greeted_(options_.peers.begin(), options_.peers.end())
{
    deferred_calls none;
    carry_out(none);
}

void control_replica_core::tick(deferred_calls& calls)
{
    if (!storage_error_.empty())
        return;
    decisions_.tick();
    if (decisions_.leads() && quorum(decisions_.log().members()) == 1)
        leader_heard_ = hooks_->now();
    carry_out(calls);
    if (++ticks_ % greeting_ticks == 0 && looks_for_cluster())
        greet_peers(calls);
    expire(calls);
}

void control_replica_core::receive(const replica_batch& batch,
                                   deferred_calls& calls)
{
    if (!storage_error_.empty())
        return;
    for (const auto& it : batch.messages)
    {
        addresses_.insert_or_assign(it.from, batch.address);
        decisions_.receive(it);
        note_contact(it);
        carry_out(calls);
    }
}

// Only a message of the present term shows that this replica is not cut off.
// A replica that was frozen holds an old belief, so its own belief never
// counts as contact.
void control_replica_core::note_contact(const replica_message& message)
{
    if (message.to != node_ || term_of(message) != decisions_.term())
        return;
    const auto& body = message.body;
    const bool from_leader = decisions_.leader() == message.from;
    const bool from_follower =
        decisions_.leads() && std::holds_alternative<append_reply>(body);
    if (from_leader || from_follower)
        leader_heard_ = hooks_->now();
}

void control_replica_core::propose(const command& asked, bool may_forward,
                                   const answer_hook& done,
                                   deferred_calls& calls)
{
    if (!storage_error_.empty())
        return calls.push_back(
            [done, detail = storage_error_]
            { done(failed_answer(version_errc::storage, detail)); });
    if (const auto first = applied_.outcome_of(asked->id))
        return calls.push_back([done, it = answer_of(asked->id, *first)]
                               { done(it); });
    if (decisions_.propose(asked))
    {
        waiting_.emplace(
            asked->id,
            waiting_command{done, hooks_->now() + options_.command_timeout});
        return carry_out(calls);
    }
    const auto& leader = decisions_.leader();
    const auto address =
        leader && *leader != node_ ? address_of(*leader) : std::string();
    if (may_forward && !address.empty())
        return calls.push_back([hooks = hooks_, address, asked, done]
                               { hooks->forward(address, asked, done); });
    calls.push_back(
        [done, address]
        {
            done(failed_answer(version_errc::not_leader,
                               address.empty() ? "no leader is known"
                                               : "the leader is " + address));
        });
}

void control_replica_core::hand_over(deferred_calls& calls)
{
    decisions_.hand_over();
    carry_out(calls);
}

void control_replica_core::stored(std::uint64_t sequence, deferred_calls& calls)
{
    const auto ready = std::stable_partition(unsent_.begin(), unsent_.end(),
                                             [&](const outgoing_message& it)
                                             { return it.after > sequence; });
    for (auto it = ready; it != unsent_.end(); ++it)
        send(it->message, calls);
    unsent_.erase(ready, unsent_.end());
    decisions_.stored(sequence);
    carry_out(calls);
}

// Nothing is acknowledged after a failed write. The replica falls silent, and
// the others go on without it as without a dead one.
void control_replica_core::storage_failed(const std::string& detail,
                                          deferred_calls& calls)
{
    write_log(log_level::error, part, "Storage failed: " + detail + ".");
    storage_error_ = detail;
    writes_.clear();
    unsent_.clear();
    fail_all(version_errc::storage, detail, calls);
}

void control_replica_core::carry_out(deferred_calls& calls)
{
    auto output = decisions_.take_output();
    if (output.write)
        writes_.push_back(std::move(*output.write));
    for (auto& it : output.messages)
    {
        if (it.after == 0)
            send(it.message, calls);
        else
            unsent_.push_back(std::move(it));
    }
    if (output.restore)
        restore(*output.restore, calls);
    for (const auto& it : output.committed)
        apply(it, calls);
    if (!output.committed.empty())
        compact_if_long();
    note_leader();
}

// A change to no leader is a lost dependency, a change to another a new one.
void control_replica_core::note_leader()
{
    if (decisions_.leader() == leader_)
        return;
    leader_ = decisions_.leader();
    ++leader_changes_;
    const auto* it =
        leader_ ? find_node(decisions_.log().members(), *leader_) : nullptr;
    write_event(
        leader_ ? log_level::info : log_level::warning, part, {},
        leader_ ? "leader_known" : "leader_lost",
        {{"leader", it == nullptr ? std::string_view() : it->name.text()},
         {"leads", decisions_.leads() ? "yes" : "no"},
         {"term", static_cast<std::int64_t>(decisions_.term().number())}});
}

void control_replica_core::send(const replica_message& message,
                                deferred_calls& calls) const
{
    auto address = address_of(message.to);
    if (address.empty())
        return;
    calls.push_back([hooks = hooks_, to = std::move(address), message]
                    { hooks->send(to, message); });
}

std::string control_replica_core::address_of(const node_id& node) const
{
    if (const auto* it = find_node(decisions_.log().members(), node))
        return it->address;
    const auto found = addresses_.find(node);
    return found == addresses_.end() ? std::string() : found->second;
}

void control_replica_core::apply(const log_entry& entry, deferred_calls& calls)
{
    const auto* asked = std::get_if<command>(&entry.content);
    if (asked == nullptr)
        return;
    const auto& id = (*asked)->id;
    const bool first = !applied_.outcome_of(id);
    const auto outcome = applied_.apply(*asked);
    if (first && decisions_.caught_up() &&
        !std::holds_alternative<read_barrier>((*asked)->what))
        write_event(
            log_level::info, part, {}, "command_applied",
            {{"command", id.text()},
             {"accepted", outcome.accepted ? "yes" : "no"},
             {"version", static_cast<std::int64_t>(outcome.version.number())},
             {"index", static_cast<std::int64_t>(entry.index.number())}});
    if (first && outcome.accepted && forbids_work((*asked)->what))
        settling_.push_back({id, hooks_->now() + permit_duration});
    const auto [begin, end] = waiting_.equal_range(id);
    for (auto it = begin; it != end; ++it)
        calls.push_back([done = it->second.done,
                         answer = answer_of(id, outcome)] { done(answer); });
    waiting_.erase(begin, end);
}

void control_replica_core::restore(const log_snapshot& base,
                                   deferred_calls& calls)
{
    const auto fleet = decode_fleet(base.data);
    if (!fleet)
        return storage_failed(
            "snapshot is not readable: " + fleet.error().detail, calls);
    applied_ = fleet_state(fleet.value());
}

void control_replica_core::compact_if_long()
{
    const auto& log = decisions_.log();
    if (log.last().number() - log.first().number() < options_.snapshot_entries)
        return;
    decisions_.compact(encode_fleet(applied_.snapshot()));
    if (auto output = decisions_.take_output(); output.write)
        writes_.push_back(std::move(*output.write));
}

// A command that was in force soon after an earlier start may still be
// settling when this process starts.
command_answer
control_replica_core::answer_of(const command_id& id,
                                const command_outcome& outcome) const
{
    auto in_force = started_ + permit_duration;
    for (const auto& it : settling_)
    {
        if (it.id == id)
            in_force = it.in_force;
    }
    const auto left = in_force - hooks_->now();
    return {outcome,
            outcome.accepted ? std::max(left, duration()) : duration()};
}

void control_replica_core::expire(deferred_calls& calls)
{
    const auto now = hooks_->now();
    while (!settling_.empty() && settling_.front().in_force <= now)
        settling_.pop_front();
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (it->second.deadline > now)
        {
            ++it;
            continue;
        }
        calls.push_back(
            [done = it->second.done]
            {
                done(failed_answer(version_errc::not_leader,
                                   "not committed in time; resend it with "
                                   "the same id"));
            });
        it = waiting_.erase(it);
    }
}

void control_replica_core::fail_all(version_errc code,
                                    const std::string& detail,
                                    deferred_calls& calls)
{
    for (const auto& [id, it] : waiting_)
        calls.push_back([done = it.done, code, detail]
                        { done(failed_answer(code, detail)); });
    waiting_.clear();
}

std::vector<log_write> control_replica_core::take_writes()
{
    return std::exchange(writes_, {});
}

bool control_replica_core::has_writes() const noexcept
{
    return !writes_.empty();
}

const fleet_view& control_replica_core::view() const noexcept
{
    return applied_.view();
}

bool control_replica_core::leads() const noexcept
{
    return decisions_.leads();
}

bool control_replica_core::may_vote() const
{
    if (!storage_error_.empty() || !leader_heard_ || !decisions_.caught_up())
        return false;
    return is_voter(decisions_.log().members(), node_) &&
           hooks_->now() - *leader_heard_ < options_.leaderless_votes;
}

std::optional<permit_vote>
control_replica_core::vote(version_number known) const
{
    if (!may_vote())
        return std::nullopt;
    auto pending = limits_of(decisions_.uncommitted());
    permit_vote given{.replica = options_.name,
                      .version = view()->version,
                      .view = std::nullopt,
                      .pending_out = std::move(pending.out),
                      .pending_drains = std::move(pending.drains)};
    if (known < given.version)
        given.view = view();
    return given;
}

// Whole means that the loss of any one replica loses nothing. Only the leader
// can tell, and only of those that it hears from: a wiped replica answers no
// message to its earlier life.
bool control_replica_core::whole() const
{
    if (!decisions_.leads())
        return false;
    const auto status = decisions_.status();
    const auto& members = status.members->members;
    const auto wanted =
        options_.voters > 0 ? options_.voters : options_.peers.size() + 1;
    if (status.changing_members || members.size() != wanted)
        return false;
    for (const auto& it : members)
    {
        if (!it.voter)
            return false;
        const auto found = status.followers.find(it.node);
        if (found == status.followers.end())
            continue;
        if (found->second.stored < status.commit ||
            found->second.silent_ticks > heard_ticks)
            return false;
    }
    return true;
}

replica_set control_replica_core::replicas() const
{
    const auto& log = decisions_.log();
    return {log.members_index(), log.members()};
}

control_replica_state control_replica_core::state() const
{
    const auto now = hooks_->now();
    control_replica_state found;
    found.name = options_.name;
    found.decisions = decisions_.status();
    found.node = node_;
    found.view = view();
    found.pending = limits_of(decisions_.uncommitted());
    if (!settling_.empty())
        found.in_force_after =
            std::max(settling_.back().in_force - now, duration());
    found.votes = may_vote();
    found.leader_changes = leader_changes_;
    found.whole = whole();
    found.storage_error = storage_error_;
    return found;
}

} // namespace lagoonquay
