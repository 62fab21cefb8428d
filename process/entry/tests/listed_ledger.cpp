#include "lagoonquay/process/log.hpp"
#include "listed_ledger_parts.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration latency = std::chrono::microseconds(1500);
// As in permit_client, ledger_client and request_held_claims().
constexpr duration poll_period = milliseconds(500);
constexpr duration longest_poll = milliseconds(450);
constexpr duration call_timeout = milliseconds(500);
// As in entry_node.
constexpr duration recovery_period = milliseconds(20);
constexpr duration expiry_period = seconds(1);
// Time until control lists an entry that has started.
constexpr duration join_delay = milliseconds(100);

std::uint64_t draw(std::mt19937_64& random, std::uint64_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

void log_record(const ledger_record& told)
{
    const auto& it = *told->claim;
    write_event(
        log_level::info, "ledger", it.submission, "restored_record",
        {{"of", it.holder.text()},
         {"round", static_cast<std::int64_t>(it.round.number())},
         {"highest", static_cast<std::int64_t>(told->highest_round.number())},
         {"lease_ms", it.lease.count() / 1000}});
}

} // namespace

listed_ledger::listed_ledger(fake_fleet& fleet,
                             const listed_ledger_options& options)
    : fleet_(fleet), options_(options), random_(options.seed),
      random_of_questions_(options.seed),
      held_(
          {.now = [this] { return fleet_.time().now(); },
           .is_open =
               [this](const held_round& it, const submission_id& submission)
           {
               if (!fleet_.entry_alive(it.entry) ||
                   hosts_[it.entry]->run != it.run)
                   return false;
               const auto found = fleet_.entry(it.entry).progress(submission);
               return found && !found->answer;
           },
           .on_violation =
               [this](const submission_id& submission, const std::string& what)
           {
               fleet_.add_violation(submission, what);
           }})
{
}

listed_ledger::~listed_ledger() = default;

fake_fleet_options listed_ledger::attach(fake_fleet_options options)
{
    hosts_.resize(options.entries);
    runs_.resize(options.entries);
    options.lease = options_.lease;
    adjust_further_ = options.hooks.adjust_entry;
    options.hooks.adjust_entry = [this](entry_options& it)
    {
        adjust(it);
    };
    options.hooks.claim = [this](std::size_t from, const claim_request& asked,
                                 claim_callback done)
    {
        claim(from, asked, std::move(done));
    };
    options.hooks.on_entry_begun =
        [this](std::size_t entry, const process_pointer& process)
    {
        begin(entry, process);
    };
    options.hooks.on_entry_killed = [this](std::size_t entry)
    {
        end(entry);
    };
    return options;
}

// The durations are those of entry_options, apart from the lease.
void listed_ledger::adjust(entry_options& options)
{
    const entry_options usual;
    const auto number = std::stoul(options.id.text().substr(6));
    runs_[number] = options.run;
    options.address = to_text(entry_address(number));
    options.dated_jobs = false;
    options.claim_margin = usual.claim_margin;
    options.reconnect_timeout = usual.reconnect_timeout;
    options.adoption_timeout = usual.adoption_timeout;
    options.claim_retry_delay = usual.claim_retry_delay;
    if (adjust_further_)
        adjust_further_(options);
}

void listed_ledger::begin(std::size_t entry, const process_pointer& process)
{
    const auto now = [this]
    {
        return fleet_.time().now();
    };
    const auto fresh = std::make_shared<host>();
    fresh->number = entry;
    fresh->process = process;
    fresh->run = runs_[entry];
    fresh->started_at = fresh->expired_at = fresh->heard = now();
    fresh->replica = std::make_unique<ledger_replica>(
        ledger_options{.records_since = fleet_.wall(), .started_at = now()},
        now, [this] { return fleet_.wall(); });
    fresh->peers = std::make_unique<entry_peers>(to_text(entry_address(entry)),
                                                 2 * options_.lease, now);
    const auto self = std::weak_ptr<host>(fresh);
    fresh->recovery = std::make_unique<ledger_recovery>(
        ledger_recovery_options(),
        ledger_recovery_hooks{
            .now = now,
            .peers = [self]() -> std::optional<std::vector<endpoint>>
            {
                const auto& peers = self.lock()->peers;
                if (!peers->known())
                    return std::nullopt;
                return peers->current();
            },
            .ask =
                [this, self](const endpoint& peer, const held_claims_hook& done)
            { ask_for_claims(self.lock(), peer, done); },
            .restore_claim =
                [self](const claim_request& it)
            {
                write_event(
                    log_level::info, "ledger", it->submission, "restored",
                    {{"of", it->holder.text()},
                     {"round", static_cast<std::int64_t>(it->round.number())}});
                self.lock()->replica->restore_claim(it);
            },
            .ask_for_records = [this, self](const endpoint& peer,
                                            std::uint64_t first_shard,
                                            const peer_records_hook& done)
            { ask_for_records(self.lock(), peer, first_shard, done); },
            .restore_record =
                [self](const ledger_record& it)
            {
                log_record(it);
                self.lock()->replica->restore_record(it);
            },
            .after =
                [this, self](duration delay, std::function<void()> work)
            {
                fleet_.time().after(delay,
                                    [at = self.lock(), work = std::move(work)]
                                    { work(); });
            },
            .no_stray_runs = [this, entry]
            { return fleet_.entry(entry).agents().no_stray_runs(); },
            .done =
                [this, self](const ledger_completion& it)
            {
                write_event(log_level::info, "ledger", {}, "ledger_complete",
                            {{"by", to_text(it.by)},
                             {"peers", static_cast<std::int64_t>(it.peers)}});
                const auto at = self.lock();
                at->replica->set_complete(scope_of(*at));
            }});
    const auto& earlier = hosts_[entry];
    fresh->began_anew =
        earlier && now() - earlier->ended_at <= options_.member_silence;
    hosts_[entry] = fresh;
    poll(fresh);
    tick(fresh);
    ask_for_established(fresh);
}

void listed_ledger::end(std::size_t entry)
{
    hosts_[entry]->ended_at = fleet_.time().now();
}

void listed_ledger::tick(const host_pointer& at)
{
    at->recovery->tick();
    const auto now = fleet_.time().now();
    if (now - at->expired_at >= expiry_period)
    {
        at->expired_at = now;
        at->replica->expire();
    }
    fleet_.time().after(
        recovery_period,
        [this, at] { fleet_.deliver(at->process, [this, at] { tick(at); }); });
}

// An entry hears a list at most a second after it changed, unless a poll or an
// answer is lost or the entry stands still.
void listed_ledger::poll(const host_pointer& to)
{
    if (!to->process->alive)
        return;
    fleet_.time().after(poll_period, [this, to] { poll(to); });
    if (to->process->frozen || cut_off_.contains(to->number) ||
        is_lost(random_))
        return;
    const auto sent = fleet_.time().now();
    to->heard = sent;
    const bool late = draw(random_, 4) == 0;
    fleet_.time().after(
        2 * latency + duration(late ? draw(random_, longest_poll.count()) : 0),
        [this, to, sent, entries = list_for(to->number)]
        {
            fleet_.deliver(
                to->process,
                [this, to, sent, entries]
                {
                    fleet_.entry(to->number)
                        .set_permit(
                            permit({.valid_until = sent + permit_duration}));
                    learn(*to, entries);
                });
        });
}

std::vector<member> listed_ledger::listed_entries() const
{
    const auto now = fleet_.time().now();
    std::vector<member> listed;
    for (const auto& it : hosts_)
    {
        if (!it || (!it->began_anew && now - it->started_at < join_delay))
            continue;
        if (now - it->heard > options_.member_silence)
            continue;
        member_options options;
        options.role = member_role::entry;
        options.id = "entry-" + std::to_string(it->number);
        options.run = it->run;
        options.domain =
            domain_id("d" + std::to_string(it->number % options_.domains));
        options.address = to_text(entry_address(it->number));
        options.serving = true;
        listed.emplace_back(std::move(options));
    }
    return listed;
}

std::vector<member> listed_ledger::list_for(std::size_t entry) const
{
    const auto held = held_lists_.find(entry);
    return held == held_lists_.end() ? listed_entries() : held->second;
}

void listed_ledger::hold_list(std::size_t entry)
{
    held_lists_[entry] = listed_entries();
}

void listed_ledger::learn(host& to, const std::vector<member>& entries)
{
    to.peers->learn(entries,
                    fleet_.entry(to.number).is_in_touch_with_control());
}

void listed_ledger::part(std::size_t a, std::size_t b, bool apart)
{
    if (apart)
        parted_.insert(std::minmax(a, b));
    else
        parted_.erase(std::minmax(a, b));
}

void listed_ledger::cut_off(std::size_t entry, bool apart)
{
    if (apart)
        cut_off_.insert(entry);
    else
        cut_off_.erase(entry);
}

void listed_ledger::join_all()
{
    parted_.clear();
    cut_off_.clear();
    held_lists_.clear();
}

bool listed_ledger::complete(std::size_t entry) const
{
    return fleet_.entry_alive(entry) && hosts_[entry]->replica->complete();
}

const held_round_counts& listed_ledger::counts() const noexcept
{
    return held_.counts();
}

// A request that was lost, an answer that was lost and one after the timeout
// look the same to the sender. The peer may have carried out the request, also
// after the timeout. A cut is silent: what a refused connection in a cut may do
// is in docs/design/ledger.md.
void listed_ledger::send(const host_pointer& from, std::size_t to, call made)
{
    const auto shared = std::make_shared<call>(std::move(made));
    auto& random = shared->random == nullptr ? random_ : *shared->random;
    const auto fail = [this, from, shared](bool refused)
    {
        fleet_.deliver(from->process,
                       [shared, refused]
                       {
                           if (!std::exchange(shared->ended, true))
                               shared->fail(refused);
                       });
    };
    fleet_.time().after(call_timeout, [fail] { fail(false); });
    if (is_apart(from->number, to) || is_lost(random))
        return;
    const auto peer = hosts_[to];
    if (!peer || !peer->process->alive)
        return fleet_.time().after(2 * latency, [fail] { fail(true); });
    fleet_.time().after(delay(random),
                        [this, peer, from, shared]
                        {
                            fleet_.deliver(peer->process,
                                           [this, peer, from, shared]
                                           { serve(peer, from, shared); });
                        });
}

void listed_ledger::serve(const host_pointer& peer, const host_pointer& from,
                          const std::shared_ptr<call>& made)
{
    const auto answer = made->serve(*peer);
    auto& random = made->random == nullptr ? random_ : *made->random;
    if (is_apart(from->number, peer->number) || is_lost(random))
        return;
    fleet_.time().after(delay(random),
                        [this, from, made, answer]
                        {
                            fleet_.deliver(
                                from->process,
                                [made, answer]
                                {
                                    if (!std::exchange(made->ended, true))
                                        answer();
                                });
                        });
}

// As the route /v1/ledger/held and the entry node's question to it.
void listed_ledger::ask_for_claims(const host_pointer& from,
                                   const endpoint& peer,
                                   const held_claims_hook& done)
{
    const auto note = [from, peer, done](const std::optional<held_claims>& it)
    {
        from->peers->take_answer(peer, it);
        done(it);
    };
    send(from, entry_number(peer),
         {.serve = [this, note](host& at) -> virtual_time::event
          {
              auto& service = fleet_.entry(at.number);
              const auto told = at.peers->with_entries(
                  {.settled = at.replica->complete() ||
                              service.agents().no_stray_runs(),
                   .claims = service.held_claims()});
              return [note, told]
              {
                  note(told);
              };
          },
          .fail =
              [this, from, note](bool refused)
          {
              if (refused &&
                  fleet_.entry(from->number).is_in_touch_with_control())
                  return note(held_claims{.gone = true});
              note(std::nullopt);
          }});
}

// As the route /v1/ledger/established and the entry node's question to it.
void listed_ledger::ask_for_established(const host_pointer& from)
{
    fleet_.time().after(established_period,
                        [this, from]
                        {
                            fleet_.deliver(from->process, [this, from]
                                           { ask_for_established(from); });
                        });
    for (const auto& peer : from->peers->to_ask_for_established())
        send(from, entry_number(peer),
             {.serve = [from, peer](host& at) -> virtual_time::event
              {
                  const auto told = at.peers->with_entries({});
                  return [from, peer, told]
                  {
                      from->peers->take_answer(peer, told);
                  };
              },
              .fail =
                  [this, from, peer](bool refused)
              {
                  if (refused &&
                      fleet_.entry(from->number).is_in_touch_with_control())
                      from->peers->take_answer(peer, held_claims{.gone = true});
              },
              .random = &random_of_questions_});
}

// As entry_node::parts::scope_of_records().
const record_scope& listed_ledger::scope_of(host& at) const
{
    if (!at.scope)
        at.scope = make_record_scope(as_peer(at), at.peers->replicas());
    return *at.scope;
}

// As the route /v1/ledger/records/ and the entry node's question to it, with
// pages of a few records.
void listed_ledger::ask_for_records(const host_pointer& from,
                                    const endpoint& peer,
                                    std::uint64_t first_shard,
                                    const peer_records_hook& done)
{
    constexpr std::size_t page_records = 5;
    send(from, entry_number(peer),
         {.serve = [done, first_shard,
                    scope = scope_of(*from)](host& at) -> virtual_time::event
          {
              const auto page =
                  at.replica->recent_records(first_shard, page_records, scope);
              return [done, page]
              {
                  done(
                      peer_records{.records = page.records, .next = page.next});
              };
          },
          .fail =
              [this, from, done](bool refused)
          {
              if (refused &&
                  fleet_.entry(from->number).is_in_touch_with_control())
                  return done(peer_records{.gone = true});
              done(std::nullopt);
          }});
}

bool listed_ledger::is_apart(std::size_t a, std::size_t b) const
{
    return cut_off_.contains(a) || cut_off_.contains(b) ||
           parted_.contains(std::minmax(a, b));
}

bool listed_ledger::is_lost(std::mt19937_64& random) const
{
    return draw(random, 100) < options_.loss_percent;
}

duration listed_ledger::delay(std::mt19937_64& random) const
{
    if (draw(random, 100) >= options_.late_percent)
        return latency;
    return latency + duration(draw(random, options_.longest_delay.count()));
}

} // namespace lagoonquay
