#include "fake_fleet_parts.hpp"
#include "leased_workers_parts.hpp"

#include <algorithm>

namespace lagoonquay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration lease_period = milliseconds(20);
// As an agent asks a worker that reports to it for the first time.
constexpr duration ask_period = milliseconds(150);
constexpr duration report_silence = seconds(2);

} // namespace

leased_workers::leased_workers(fake_fleet& fleet,
                               leased_workers_options options)
    : fleet_(fleet), options_(options), faults_(options.faults),
      random_(options.seed)
{
}

leased_workers::~leased_workers() = default;

void leased_workers::attach(fake_fleet_hooks& hooks)
{
    hooks.make_upstream =
        [this](std::size_t agent, const process_pointer& process)
    {
        return begin(agent, process);
    };
    hooks.on_agent_begun = [this](std::size_t agent)
    {
        hosts_.at(agent)->has_service = true;
    };
    hooks.on_agent_killed = [this](std::size_t agent)
    {
        end_process(agent);
    };
    hooks.adjust_agent = [this, earlier = hooks.adjust_agent](agent_options& it)
    {
        if (earlier)
            earlier(it);
        it.earlier_runs_timeout = max_run_time_without_agent(options_.leases);
        if (options_.tells_begun)
            it.late_run_time = max_late_run_time(options_.leases);
    };
}

void leased_workers::end_faults()
{
    faults_ = {};
    for (const auto& it : hosts_)
        it.second->muted_until = {};
}

void leased_workers::mute(std::size_t agent, duration span)
{
    hosts_.at(agent)->muted_until = fleet_.time().now() + span;
}

fake_lease_worker& leased_workers::worker(std::size_t agent)
{
    return *hosts_.at(agent)->worker;
}

std::uint64_t leased_workers::crashes() const noexcept
{
    return crashes_;
}

fake_fleet_hooks::agent_upstream
leased_workers::begin(std::size_t agent, const process_pointer& process)
{
    auto& slot = hosts_[agent];
    if (!slot)
    {
        slot = std::make_unique<host>();
        constexpr int slowest_clock_percent = 98;
        slot->worker = std::make_unique<fake_lease_worker>(
            fleet_.time(), slowest_clock_percent + static_cast<int>(draw(3)));
        slot->worker->reports_progress = true;
        slot->worker->on_begin = [this, agent](const task_run& it)
        {
            note_begin(agent, it);
        };
        slot->worker->on_end =
            [this, agent](const task_run& it, std::optional<run_end> how)
        {
            note_end(agent, it, how);
        };
        slot->id = "worker-" + std::to_string(agent) + "-1";
        heartbeat(agent);
        plan_faults(agent);
    }
    auto& it = *slot;
    it.current = {agent, process, it.current.number + 1};
    it.calls = worker_calls(agent, it.current);
    it.runs = std::make_unique<leased_runs>(
        options_.leases,
        leased_runs_hooks{.now = [this] { return fleet_.time().now(); },
                          .worker = it.calls,
                          .on_readiness = [this, agent] { announce(agent); },
                          .on_begun =
                              [this, agent](const task_run& run)
                          {
                              tell_begun(agent, run);
                          }});
    tick(agent, process);
    fake_fleet_hooks::agent_upstream made;
    made.call = [&it](const upstream_call& call, upstream_callback done)
    {
        // The worker's results have no body.
        const auto body = body_of(call.submission, call.index);
        it.runs->start(call,
                       [done = std::move(done), body](const task_result& result)
                       {
                           if (result->reason != failure_reason::none)
                               return done(result);
                           done(result.with([&](task_result_options& each)
                                            { each.body = body; }));
                       });
    };
    made.stop = [&it](const submission_id& submission, task_index index,
                      attempt_number attempt)
    {
        it.runs->stop({submission, index, attempt});
    };
    return made;
}

// Orders on their way still arrive; answers to them don't.
void leased_workers::end_process(std::size_t agent)
{
    auto& it = *hosts_.at(agent);
    it.runs.reset();
    ++it.current.number;
    it.has_service = false;
    it.followed.reset();
    it.reported.reset();
    it.decisions = 0;
}

// A worker that may still run tasks of an earlier agent is not offered.
void leased_workers::announce(std::size_t agent)
{
    const auto& it = *hosts_.at(agent);
    if (!it.runs || !it.has_service || !it.followed)
        return;
    check_earlier_runs(agent);
    upstream_announcement announced;
    announced.slots = options_.slots;
    announced.capacity = {1000, 1000, 0};
    announced.leaving = !it.runs->ready();
    fleet_.agent(agent).announce(announced);
}

void leased_workers::tell_begun(std::size_t agent, const task_run& run)
{
    if (options_.tells_begun && hosts_.at(agent)->has_service)
        fleet_.agent(agent).on_begun(run.submission, run.index, run.attempt);
}

void leased_workers::tick(std::size_t agent, const process_pointer& process)
{
    fleet_.time().after(lease_period,
                        [this, agent, process]
                        {
                            fleet_.deliver(process,
                                           [this, agent, process]
                                           {
                                               ask_reported(agent);
                                               hosts_.at(agent)->runs->tick();
                                               tick(agent, process);
                                           });
                        });
}

void leased_workers::heartbeat(std::size_t agent)
{
    report(agent);
    fleet_.time().after(options_.heartbeat_period,
                        [this, agent] { heartbeat(agent); });
}

void leased_workers::report(std::size_t agent)
{
    const auto& it = *hosts_.at(agent);
    if (!it.up)
        return;
    const auto sent = it.address();
    const auto clock = it.worker->clock();
    fleet_.time().after(
        milliseconds(1 + draw(20)),
        [this, agent, sent, clock]
        {
            const auto& process = hosts_.at(agent)->current.process;
            if (process)
                fleet_.deliver(process, [this, agent, sent, clock]
                               { on_report(agent, sent, clock); });
        });
}

void leased_workers::on_report(std::size_t agent, const worker_address& sent,
                               worker_time clock)
{
    auto& it = *hosts_.at(agent);
    if (it.followed && sent.life < it.followed->life)
        return;
    if (it.followed == sent)
    {
        it.runs->set_worker(sent, clock, ++it.decisions);
        return announce(agent);
    }
    it.reported = host::candidate{sent, clock, fleet_.time().now(), {}};
    ask_reported(agent);
}

void leased_workers::ask_reported(std::size_t agent)
{
    auto& it = *hosts_.at(agent);
    const auto now = fleet_.time().now();
    if (it.reported && now - it.reported->heard > report_silence)
        it.reported.reset();
    if (!it.reported || now - it.reported->asked < ask_period)
        return;
    it.reported->asked = now;
    const auto asked = it.reported->address;
    const lease_order question{std::nullopt, it.runs->token_for(asked.id), 0,
                               duration::zero()};
    it.calls.extend(asked, question,
                    [this, agent, asked](const lease_reply& reply)
                    { on_answer(agent, asked, reply.order); });
}

void leased_workers::on_answer(std::size_t agent, const worker_address& asked,
                               const order_reply& reply)
{
    auto& it = *hosts_.at(agent);
    if (!it.reported || it.reported->address != asked ||
        (reply.result != order_result::accepted &&
         reply.result != order_result::fenced))
        return;
    const auto clock = reply.clock.value_or(it.reported->clock);
    it.reported.reset();
    it.followed = asked;
    it.runs->set_worker(asked, clock, ++it.decisions);
    announce(agent);
}

void leased_workers::plan_faults(std::size_t agent)
{
    every(options_.faults.crash_period,
          [this, agent]
          {
              if (faults_.crash_period <= duration::zero())
                  return;
              const bool new_id = chance(faults_.new_ids);
              crash(agent, draw_up_to(faults_.max_gap), new_id);
          });
    every(options_.faults.mute_period,
          [this, agent]
          {
              if (faults_.mute_period > duration::zero())
                  mute(agent, draw_up_to(faults_.max_mute));
          });
}

// Half to one and a half of the period, so that workers fall out of step.
void leased_workers::every(duration period, const std::function<void()>& call)
{
    if (period <= duration::zero())
        return;
    fleet_.time().after(period / 2 + draw_up_to(period),
                        [this, period, call]
                        {
                            call();
                            every(period, call);
                        });
}

void leased_workers::stop_runs(std::size_t agent)
{
    auto& it = *hosts_.at(agent);
    for (const auto& run : it.worker->runs())
        it.runs->stop(run);
}

void leased_workers::raise_fence(std::size_t agent, std::uint64_t excess)
{
    auto& it = *hosts_.at(agent);
    if (!it.up)
        return;
    const task_run none{submission_id("none"), task_index(0),
                        attempt_number(1)};
    const fencing_token raised(it.worker->fence().number() + excess);
    it.worker->stop({none, raised}, {});
}

void leased_workers::crash(std::size_t agent, duration gap, bool new_id,
                           std::optional<worker_time> first_clock)
{
    auto& it = *hosts_.at(agent);
    if (!it.up)
        return;
    ++crashes_;
    it.up = false;
    it.worker->restart();
    if (new_id)
        it.id =
            "worker-" + std::to_string(agent) + "-" + std::to_string(++it.ids);
    fleet_.time().after(gap, [this, agent, first_clock]
                        { begin_life(agent, first_clock); });
}

void leased_workers::begin_life(std::size_t agent,
                                std::optional<worker_time> first_clock)
{
    auto& it = *hosts_.at(agent);
    const auto bound =
        static_cast<std::uint64_t>(options_.faults.max_first_clock.count());
    const worker_time drawn(draw(bound));
    it.worker->restart(first_clock.value_or(drawn));
    it.up = true;
    it.has_later_order = false;
    fleet_.time().after(milliseconds(50 + draw(300)),
                        [this, agent] { report(agent); });
}

std::uint64_t leased_workers::draw(std::uint64_t bound)
{
    return bound == 0 ? 0 : random_() % bound;
}

bool leased_workers::chance(int percent)
{
    return draw(100) < static_cast<std::uint64_t>(percent);
}

duration leased_workers::draw_up_to(duration span)
{
    using std::chrono::duration_cast;
    return milliseconds(draw(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(span).count())));
}

} // namespace lagoonquay
