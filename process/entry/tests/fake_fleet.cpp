#include "fake_fleet.hpp"

#include "lagoonquay/request/dispatch_codec.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr duration claim_timeout = std::chrono::milliseconds(200);
constexpr duration link_silence = std::chrono::milliseconds(600);
constexpr wall_time wall_start(std::chrono::hours(400000));

std::string agent_name(std::size_t n)
{
    return "agent-" + std::to_string(n);
}

std::string entry_name(std::size_t n)
{
    return "entry-" + std::to_string(n);
}

std::string body_of(const submission_id& submission, task_index index)
{
    return submission.text() + "/" + std::to_string(index.number());
}

} // namespace

instant virtual_time::now() const noexcept
{
    return now_;
}

void virtual_time::after(duration delay, event run)
{
    events_.emplace(now_ + delay, std::move(run));
}

void virtual_time::run_until(instant until)
{
    while (!events_.empty() && events_.begin()->first <= until)
    {
        auto node = events_.extract(events_.begin());
        now_ = std::max(now_, node.key());
        node.mapped()();
    }
    now_ = until;
}

//! One end of a link; messages pass through the codec.
class fake_fleet::fake_link : public message_link
{
public:
    fake_link(fake_fleet& fleet, process_pointer owner)
        : fleet_(fleet), owner_(std::move(owner))
    {
    }

    void join(const std::shared_ptr<fake_link>& peer)
    {
        peer_ = peer;
    }

    void start(link_hooks hooks) override
    {
        hooks_ = std::move(hooks);
    }

    void send(link_message message) override
    {
        const auto peer = peer_.lock();
        if (!peer || closed_)
            return;
        const auto frame = encode_frame({message});
        peer->arrive([peer, frame] { peer->receive(frame); });
    }

    // What is under way is lost, or still arrives before the end.
    void close() override
    {
        if (closed_)
            return;
        const auto peer = peer_.lock();
        for (const auto& it : {self.lock(), peer})
        {
            if (!it)
                continue;
            it->closed_ = true;
            it->lost_ = lost_;
            it->arrive([it] { it->end(); });
        }
    }

    //! Loses what is under way when the link closes.
    void lose() noexcept
    {
        lost_ = true;
    }

    //! Holds back whatever comes to this end.
    void stall(duration span)
    {
        stalled_ = fleet_.time_.now() + span;
    }

    const process_pointer& owner() const noexcept
    {
        return owner_;
    }

    link_counts counts() const noexcept override
    {
        return {};
    }

    std::weak_ptr<fake_link> self;
    std::size_t entry = 0;
    std::size_t agent = 0;

private:
    void arrive(const virtual_time::event& run)
    {
        const auto now = fleet_.time_.now();
        const auto at = std::max(now + fleet_.options_.latency, stalled_);
        fleet_.time_.after(at - now, [this, owner = owner_, run]
                           { fleet_.deliver(owner, run); });
    }

    void receive(const std::string& frame)
    {
        if (lost_ || !hooks_.on_messages)
            return;
        const auto decoded = decode_frame(frame);
        if (!decoded)
            fleet_.record_.violations.push_back("codec: " +
                                                decoded.error().detail);
        else
            hooks_.on_messages(decoded.value());
    }

    void end()
    {
        if (hooks_.on_close)
            hooks_.on_close();
        hooks_ = {};
    }

    fake_fleet& fleet_;
    process_pointer owner_;
    std::weak_ptr<fake_link> peer_;
    link_hooks hooks_;
    instant stalled_{};
    bool closed_ = false;
    bool lost_ = false;
};

struct fake_fleet::entry_host
{
    process_pointer process;
    std::unique_ptr<ledger_replica> ledger;
    std::unique_ptr<entry_service> service;
    std::vector<std::shared_ptr<fake_link>> links;
    std::map<submission_id, std::uint64_t> calls;
};

struct fake_fleet::agent_host
{
    process_pointer process;
    std::unique_ptr<agent_service> service;
    std::vector<std::shared_ptr<fake_link>> links;
    duration clock_offset{};
};

fake_fleet::fake_fleet(fake_fleet_options options)
    : options_(options), random_(options.seed)
{
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        entries_.push_back(std::make_unique<entry_host>());
        entries_.back()->process =
            std::make_shared<fake_process>(fake_process{.alive = false});
    }
    for (std::size_t n = 0; n < options_.agents; ++n)
        agents_.push_back(std::make_unique<agent_host>());
    for (std::size_t n = 0; n < options_.agents; ++n)
        start_agent(n);
    for (std::size_t n = 0; n < options_.entries; ++n)
        start_entry(n);
    run_for(std::chrono::seconds(2));
}

// What waits for a frozen process may own that process.
fake_fleet::~fake_fleet()
{
    for (const auto& it : entries_)
        drop_backlog(it->process);
    for (const auto& it : agents_)
        drop_backlog(it->process);
}

void fake_fleet::drop_backlog(const process_pointer& it)
{
    const auto dropped = std::move(it->backlog);
    it->backlog.clear();
}

void fake_fleet::submit(std::size_t entry, const job& work)
{
    auto& host = *entries_[entry];
    const auto& id = work->submission;
    idempotent_[id] = work->idempotent;
    ++host.calls[id];
    if (turned_away_.erase(id) > 0)
        denied_[id].clear();
    const auto process = host.process;
    deliver(process,
            [this, entry, work, process]
            {
                entries_[entry]->service->submit(
                    work,
                    [this, entry, work](const job_answer& answer)
                    {
                        --entries_[entry]->calls[work->submission];
                        check_answer(work, answer);
                    });
            });
}

void fake_fleet::run_for(duration span)
{
    time_.run_until(time_.now() + span);
}

void fake_fleet::kill_entry(std::size_t entry)
{
    auto& host = *entries_[entry];
    host.process->alive = false;
    drop_backlog(host.process);
    for (const auto& it : host.links)
        it->close();
    host.links.clear();
    for (const auto& [id, n] : host.calls)
        record_.lost_calls += n;
    host.calls.clear();
}

void fake_fleet::start_entry(std::size_t entry)
{
    auto& host = *entries_[entry];
    host.service.reset();
    host.process = std::make_shared<fake_process>();
    const auto now = [this]
    {
        return time_.now();
    };
    const auto wall_now = [this]
    {
        return wall();
    };
    host.ledger = std::make_unique<ledger_replica>(
        ledger_options{.memory_since = wall(),
                       .clock_skew = std::chrono::milliseconds(100)},
        now, wall_now);
    entry_options options;
    options.id = entry_id(entry_name(entry));
    options.run = incarnation(++runs_);
    options.address = entry_name(entry);
    options.claim_lease = options_.lease;
    options.claim_margin = std::chrono::milliseconds(20);
    options.clock_skew = std::chrono::milliseconds(100);
    options.link_grace = std::chrono::seconds(1);
    options.claim_retry = std::chrono::milliseconds(100);
    options.answer_retention = std::chrono::seconds(2);
    options.probe_ledger = true;
    host.service = std::make_unique<entry_service>(
        options,
        entry_hooks{.now = now,
                    .wall = wall_now,
                    .claim = [this, entry](const claim_request& asked,
                                           claim_callback done)
                    { claim(entry, asked, std::move(done)); },
                    .forward = [this, entry](const std::string& address,
                                             const job& work,
                                             forwarded_hook done)
                    { forward(entry, address, work, done); },
                    .draw = [this](std::uint64_t bound) { return draw(bound); },
                    .retry = {}});
    host.service->hold(endless_permit());
    std::vector<member> agents;
    for (std::size_t n = 0; n < options_.agents; ++n)
        agents.push_back(
            member({.id = agent_name(n), .capacity = {1000, 1000, 0}}));
    host.service->learn(agents);
    tick_entry(entry);
}

void fake_fleet::kill_agent(std::size_t agent)
{
    auto& host = *agents_[agent];
    host.process->alive = false;
    drop_backlog(host.process);
    for (const auto& it : host.links)
        it->close();
    host.links.clear();
}

void fake_fleet::start_agent(std::size_t agent)
{
    auto& host = *agents_[agent];
    host.service.reset();
    host.process = std::make_shared<fake_process>();
    host.clock_offset = std::chrono::milliseconds(draw(100000));
    agent_options options;
    options.id = agent_id(agent_name(agent));
    options.run = incarnation(++runs_);
    options.upstream_silence = std::chrono::hours(100);
    host.service = std::make_unique<agent_service>(
        options,
        agent_hooks{
            .now = [this, &host] { return time_.now() + host.clock_offset; },
            .call_upstream =
                [this, agent](const upstream_call& call, upstream_callback done)
            {
                call_upstream(agent, call, done);
            }});
    host.service->hold(endless_permit());
    host.service->announce(
        {.slots = options_.slots, .capacity = {1000, 1000, 0}});
    tick_agent(agent);
}

void fake_fleet::freeze_entry(std::size_t entry, bool frozen)
{
    const auto process = entries_[entry]->process;
    process->frozen = frozen;
    if (!frozen)
        return thaw(process);
    for (const auto& it : entries_[entry]->links)
        time_.after(link_silence,
                    [process, it]
                    {
                        if (process->frozen)
                            it->close();
                    });
}

void fake_fleet::freeze_agent(std::size_t agent, bool frozen)
{
    const auto process = agents_[agent]->process;
    process->frozen = frozen;
    if (!frozen)
        return thaw(process);
    for (const auto& it : agents_[agent]->links)
        time_.after(link_silence,
                    [process, it]
                    {
                        if (process->frozen)
                            it->close();
                    });
}

void fake_fleet::cut(std::size_t entry, std::size_t agent, bool lose)
{
    for (const auto& it : entries_[entry]->links)
    {
        if (it->agent != agent)
            continue;
        if (lose)
            it->lose();
        it->close();
    }
}

void fake_fleet::stall(std::size_t entry, std::size_t agent, duration span)
{
    for (const auto& it : agents_[agent]->links)
    {
        if (it->entry == entry)
            it->stall(span);
    }
}

void fake_fleet::separate(std::size_t entry, std::size_t agent, bool apart)
{
    if (!apart)
    {
        apart_.erase({entry, agent});
        return;
    }
    apart_.insert({entry, agent});
    cut(entry, agent);
}

entry_service& fake_fleet::entry(std::size_t n)
{
    return *entries_[n]->service;
}

agent_service& fake_fleet::agent(std::size_t n)
{
    return *agents_[n]->service;
}

bool fake_fleet::entry_alive(std::size_t n) const
{
    return entries_[n]->process->alive;
}

bool fake_fleet::agent_alive(std::size_t n) const
{
    return agents_[n]->process->alive;
}

const fleet_record& fake_fleet::record() const noexcept
{
    return record_;
}

virtual_time& fake_fleet::time() noexcept
{
    return time_;
}

wall_time fake_fleet::wall() const
{
    return wall_start + std::chrono::duration_cast<std::chrono::milliseconds>(
                            time_.now().time_since_epoch());
}

std::uint64_t fake_fleet::draw(std::uint64_t bound)
{
    return bound == 0 ? 0 : random_() % bound;
}

void fake_fleet::deliver(const process_pointer& to, virtual_time::event run)
{
    if (!to->alive)
        return;
    if (to->frozen)
        to->backlog.push_back(std::move(run));
    else
        run();
}

void fake_fleet::send(const process_pointer& to, virtual_time::event run)
{
    time_.after(options_.latency,
                [this, to, it = std::move(run)] { deliver(to, it); });
}

void fake_fleet::thaw(const process_pointer& it)
{
    auto backlog = std::move(it->backlog);
    it->backlog.clear();
    for (const auto& run : backlog)
        time_.after(duration(0), [this, it, run] { deliver(it, run); });
}

void fake_fleet::link(std::size_t entry, std::size_t agent)
{
    auto& from = *entries_[entry];
    auto& to = *agents_[agent];
    if (!to.process->alive || to.process->frozen ||
        apart_.contains({entry, agent}))
        return;
    const auto near = std::make_shared<fake_link>(*this, from.process);
    const auto far = std::make_shared<fake_link>(*this, to.process);
    near->self = near;
    far->self = far;
    near->agent = far->agent = agent;
    near->entry = far->entry = entry;
    near->join(far);
    far->join(near);
    from.links.push_back(near);
    to.links.push_back(far);
    const agent_id id(agent_name(agent));
    from.service->agents().begin_link(id);
    from.service->on_link(id, near);
    to.service->on_link(far);
}

void fake_fleet::tick_entry(std::size_t n)
{
    auto& host = *entries_[n];
    for (const auto& it : host.service->agents().unlinked())
        link(n, std::stoul(it->id.substr(std::string("agent-").size())));
    host.service->tick();
    const auto process = host.process;
    time_.after(tick_period, [this, n, process]
                { deliver(process, [this, n] { tick_entry(n); }); });
}

void fake_fleet::tick_agent(std::size_t n)
{
    agents_[n]->service->tick();
    const auto process = agents_[n]->process;
    time_.after(tick_period, [this, n, process]
                { deliver(process, [this, n] { tick_agent(n); }); });
}

// A lost message counts as no answer at the timeout, and so does a vote that
// comes later; the replica may have recorded the claim all the same.
void fake_fleet::claim(std::size_t from, const claim_request& asked,
                       claim_callback done)
{
    struct exchange
    {
        claim_tally tally;
        std::vector<bool> counted;
    };
    const auto shared = std::make_shared<exchange>(
        exchange{claim_tally(options_.entries, asked->lease, time_.now()),
                 std::vector<bool>(options_.entries)});
    const auto sender = entries_[from]->process;
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        const auto count =
            [shared, n, done](const std::optional<claim_vote>& vote)
        {
            if (shared->counted[n])
                return;
            shared->counted[n] = true;
            if (const auto outcome = shared->tally.add(vote))
                done(*outcome);
        };
        time_.after(claim_timeout, [this, sender, count]
                    { deliver(sender, [count] { count(std::nullopt); }); });
        if (draw(100) < options_.claim_loss_percent)
            continue;
        const bool lost = draw(100) < options_.claim_loss_percent;
        const auto process = entries_[n]->process;
        const auto late = duration(
            lost ? draw(2000000) : 0); // a late claim may still be recorded
        time_.after(
            late,
            [this, n, process, sender, asked, count, lost]
            {
                send(process,
                     [this, n, sender, asked, count, lost]
                     {
                         const auto vote = entries_[n]->ledger->claim(asked);
                         if (!lost)
                             send(sender, [count, vote] { count(vote); });
                     });
            });
    }
}

void fake_fleet::forward(std::size_t from, const std::string& address,
                         const job& work, const forwarded_hook& done)
{
    const auto sender = entries_[from]->process;
    const auto n = std::stoul(address.substr(std::string("entry-").size()));
    const auto process = entries_[n]->process;
    const auto answered = std::make_shared<bool>(false);
    const auto finish =
        [answered, done](const std::optional<job_answer>& answer)
    {
        if (*answered)
            return;
        *answered = true;
        done(answer);
    };
    if (!process->alive)
        return send(sender, [finish] { finish(std::nullopt); });
    send(process,
         [this, n, sender, work, finish]
         {
             entries_[n]->service->submit(
                 work, [this, sender, finish](const job_answer& answer)
                 { send(sender, [finish, answer] { finish(answer); }); });
         });
    time_.after(work->time_limit, [this, sender, finish]
                { deliver(sender, [finish] { finish(std::nullopt); }); });
}

void fake_fleet::call_upstream(std::size_t agent, const upstream_call& call,
                               const upstream_callback& done)
{
    const auto& id = call.submission;
    const task_key key{id, call.index};
    const auto n = ++record_.starts[key];
    if (n > 1 && !idempotent_[id])
        complain(id, "task " + std::to_string(call.index.number()) +
                         " started twice");
    auto& denied = denied_[id];
    if (denied.contains(call.index.number()))
        complain(id, "task " + std::to_string(call.index.number()) +
                         " started after 'not run'");
    if (on_start)
        on_start(call);
    const auto process = agents_[agent]->process;
    const auto span =
        run_time ? run_time(call) : duration(std::chrono::milliseconds(50));
    const task_result result({.index = call.index,
                              .reason = failure_reason::none,
                              .ran = effect::ran,
                              .body = body_of(id, call.index),
                              .detail = {}});
    time_.after(span, [this, process, done, result]
                { deliver(process, [done, result] { done(result); }); });
}

void fake_fleet::check_answer(const job& work, const job_answer& answer)
{
    record_.answers.push_back(answer);
    const auto& id = work->submission;
    auto& denied = denied_[id];
    if (answer->submission != id)
        complain(id, "got the answer of " + answer->submission.text());
    if (succeeded(answer))
    {
        if (answer->results.size() != work->tasks.size())
            complain(id, "partial answer");
        for (std::uint64_t n = 0; n < answer->results.size(); ++n)
        {
            if (answer->results[n]->body != body_of(id, task_index(n)))
                complain(id, "crossed result " + std::to_string(n));
        }
        return;
    }
    if (!answer->results.empty())
        complain(id, "a failed job shows results");
    // Admission turns one request away; the submission may be sent again.
    const bool admission = answer->reason == failure_reason::overloaded ||
                           answer->reason == failure_reason::quota ||
                           answer->reason == failure_reason::impossible_need;
    if (admission)
        turned_away_.insert(id);
    const bool wanted = admission && open_calls(id) > 0;
    const auto deny = [&](std::uint64_t n)
    {
        if (record_.starts[{id, task_index(n)}] > 0)
            complain(id, "task " + std::to_string(n) + " ran but is 'not run'");
        if (!wanted)
            denied.insert(n);
    };
    for (const auto& it : answer->failures)
    {
        if (it->ran == effect::not_run)
            deny(it->index.number());
    }
    if (answer->ran != effect::not_run)
        return;
    for (std::uint64_t n = 0; n < work->tasks.size(); ++n)
        deny(n);
}

std::uint64_t fake_fleet::open_calls(const submission_id& submission) const
{
    std::uint64_t total = 0;
    for (const auto& it : entries_)
    {
        const auto calls = it->calls.find(submission);
        total += calls == it->calls.end() ? 0 : calls->second;
    }
    return total;
}

void fake_fleet::complain(const submission_id& submission,
                          const std::string& what)
{
    record_.violations.push_back(submission.text() + ": " + what);
}

permit fake_fleet::endless_permit() const
{
    permit_options options;
    options.valid_until = instant::max();
    return permit(options);
}

} // namespace lagoonquay
