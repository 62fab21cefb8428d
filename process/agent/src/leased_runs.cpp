#include "lagoonquay/process/leased_runs.hpp"

#include "lagoonquay/process/log.hpp"
#include "run_table.hpp"

#include <mutex>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "lease";

} // namespace

// run_table makes the decisions; this class locks it and sends its orders.
struct leased_runs::state : public std::enable_shared_from_this<state>
{
    state(leased_runs_options options, leased_runs_hooks given)
        : hooks(std::move(given)), table(options)
    {
    }

    //! Calls `use` under the lock, then sends the resulting orders without it.
    template <typename Use>
    void step(Use use)
    {
        run_table_output output;
        {
            const std::lock_guard lock(mutex);
            use(hooks.now());
            output = table.take_output(hooks.now());
        }
        send(output);
    }

    void send(const run_table_output& output)
    {
        for (const auto& it : output.given_up)
            log_event(it);
        for (const auto& it : output.unanswered)
            log_event(it);
        for (const auto& it : output.held)
            log_event(it);
        for (const auto& it : output.resurfaced)
            log_event(it);
        for (const auto& it : output.stopped)
            log_event(it);
        if (output.begun)
            log_event(*output.begun);
        for (const auto& it : output.starts)
            hooks.worker.start(
                output.worker, it,
                [self = shared_from_this(), it,
                 life = output.worker.life](const order_reply& reply)
                { self->on_start(life, it, reply); });
        for (const auto& it : output.stops)
            hooks.worker.stop(
                output.worker, it,
                [self = shared_from_this(), it,
                 life = output.worker.life](const order_reply& reply)
                { self->on_stop(life, it, reply); });
        for (const auto& it : output.extensions)
            hooks.worker.extend(
                output.worker, it.order,
                [self = shared_from_this(), it,
                 life = output.worker.life](const lease_reply& reply)
                { self->on_extended(life, it, reply); });
        for (const auto& it : output.accepted)
        {
            if (hooks.on_begun)
                hooks.on_begun(it);
        }
        for (const auto& it : output.results)
            it.done(it.result);
        if (output.readiness_changed && hooks.on_readiness)
            hooks.on_readiness();
    }

    void on_start(worker_life life, const start_order& order,
                  const order_reply& reply)
    {
        step([&](instant now) { table.on_start(life, order, reply, now); });
    }

    void on_stop(worker_life life, const stop_order& order,
                 const order_reply& reply)
    {
        step([&](instant now) { table.on_stop(life, order, reply, now); });
    }

    void on_extended(worker_life life, const numbered_extension& sent,
                     const lease_reply& reply)
    {
        step([&](instant now) { table.on_extended(life, sent, reply, now); });
    }

    const leased_runs_hooks hooks;
    mutable std::mutex mutex;
    run_table table;
};

leased_runs::leased_runs(leased_runs_options options, leased_runs_hooks hooks)
    : state_(std::make_shared<state>(options, std::move(hooks)))
{
}

leased_runs::~leased_runs() = default;

void leased_runs::set_worker(const worker_address& worker, worker_time clock,
                             std::uint64_t decision)
{
    bool fresh = false;
    state_->step(
        [&](instant now)
        { fresh = state_->table.set_worker(worker, clock, now, decision); });
    if (fresh)
        write_log(log_level::info, part,
                  "Worker " + worker.id + " at " + to_text(worker.address) +
                      " in life " + std::to_string(worker.life.number()) + ".");
}

bool leased_runs::ready() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->table.ready(state_->hooks.now());
}

void leased_runs::start(const upstream_call& call, upstream_callback done)
{
    state_->step([&](instant now)
                 { state_->table.start(call, std::move(done), now); });
}

void leased_runs::stop(const task_run& run)
{
    state_->step([&](instant now) { state_->table.stop(run, now); });
}

void leased_runs::tick()
{
    state_->step([&](instant now) { state_->table.tick(now); });
}

fencing_token leased_runs::token_for(const std::string& id) const
{
    const std::lock_guard lock(state_->mutex);
    return state_->table.token_for(id);
}

std::size_t leased_runs::size() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->table.size();
}

} // namespace lagoonquay
