#include "leased_runs_schedule.hpp"

#include <algorithm>

namespace lagoonquay
{

using std::chrono::milliseconds;

namespace
{

int count_ms(duration span)
{
    return static_cast<int>(
        std::chrono::duration_cast<milliseconds>(span).count());
}

} // namespace

leased_runs_schedule::leased_runs_schedule(std::uint32_t seed,
                                           const fault_rates& rates)
    : random_(seed), rates_(rates), worker_(time_, 98 + draw(3))
{
    worker_.on_begin = [this](const task_run& run)
    {
        check_begun_run(run);
    };
    begin_process();
    heartbeat();
    tick();
    submit();
    if (rates_.restart_period > duration::zero())
        every(rates_.restart_period, [this] { restart(); });
    if (rates_.process_period > duration::zero())
        every(rates_.process_period, [this] { end_process(); });
    if (rates_.refusal_period > duration::zero())
        every(rates_.refusal_period, [this] { raise_workers_fence(); });
    if (rates_.mute_period > duration::zero())
        every(rates_.mute_period,
              [this] {
                  unanswered_until_ =
                      time_.now() + milliseconds(500 + draw(1500));
              });
    if (rates_.freeze_period > duration::zero())
        every(rates_.freeze_period, [this]
              { frozen_until_ = time_.now() + milliseconds(draw(3000)); });
}

void leased_runs_schedule::run_for(duration length)
{
    time_.run_until(time_.now() + length);
}

int leased_runs_schedule::draw(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
}

bool leased_runs_schedule::chance(int percent)
{
    return draw(100) < percent;
}

std::string leased_runs_schedule::describe(const task_run& run) const
{
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(time_.now() - began_);
    return run.submission.text() + " at " + std::to_string(elapsed.count()) +
           " ms";
}

void leased_runs_schedule::every(duration period,
                                 const std::function<void()>& call)
{
    time_.after(period + milliseconds(draw(500)),
                [this, period, call]
                {
                    call();
                    every(period, call);
                });
}

void leased_runs_schedule::to_agent(std::function<void()> call)
{
    if (!runs_)
        return;
    if (time_.now() >= frozen_until_)
        return call();
    time_.after(frozen_until_ - time_.now(),
                [this, process = process_, call]
                {
                    if (runs_ && process == process_)
                        call();
                });
}

void leased_runs_schedule::begin_process()
{
    runs_ = std::make_unique<leased_runs>(
        leased_runs_options(),
        leased_runs_hooks{.now = [this] { return time_.now(); },
                          .worker = hooks(),
                          .on_readiness =
                              [this]
                          {
                              check_earlier_runs();
                          }});
}

// Orders on their way still arrive; answers to them don't.
void leased_runs_schedule::end_process()
{
    if (!runs_)
        return;
    if (rates_.stops_all_before_end)
    {
        for (const auto& it : worker_.runs())
            runs_->stop(it);
    }
    runs_.reset();
    ++process_;
    known_life_ = worker_life(0);
    frozen_until_ = {};
    constexpr int min_gap_ms = 300;
    const auto more = draw(count_ms(rates_.max_process_gap) - min_gap_ms);
    time_.after(milliseconds(min_gap_ms + more), [this] { begin_process(); });
}

void leased_runs_schedule::raise_workers_fence()
{
    constexpr int max_excess = 300;
    const auto excess = static_cast<std::uint64_t>(1 + draw(max_excess));
    const task_run none{submission_id("none"), task_index(0),
                        attempt_number(1)};
    worker_.stop({none, fencing_token(worker_.fence().number() + excess)}, {});
}

// Tasks of a lost process are started elsewhere from the readiness of the next
// one on.
void leased_runs_schedule::check_earlier_runs()
{
    if (!runs_ || !runs_->ready() || known_life_ != worker_.life())
        return;
    ready_in_ = {process_, worker_.life()};
    for (const auto& it : worker_.runs())
    {
        if (started_by_[it] < process_)
            violations.push_back("a run of an earlier process went on: " +
                                 describe(it));
    }
}

void leased_runs_schedule::check_begun_run(const task_run& run)
{
    if (reported_runs_.contains(run))
        violations.push_back("a run began after it was reported: " +
                             describe(run));
    if (started_by_[run] < ready_in_.first &&
        worker_.life() == ready_in_.second)
        violations.push_back("a run of an earlier process began: " +
                             describe(run));
}

worker_address leased_runs_schedule::address(worker_life life) const
{
    return {{"127.0.0.1", 9}, "w", life};
}

void leased_runs_schedule::heartbeat()
{
    const auto sent = address(worker_.life());
    const auto clock = worker_.clock();
    time_.after(milliseconds(1 + draw(20)),
                [this, sent, clock]
                {
                    to_agent(
                        [this, sent, clock]
                        {
                            if (sent.life >= known_life_)
                                runs_->set_worker(sent, clock);
                            known_life_ = std::max(known_life_, sent.life);
                        });
                });
    time_.after(rates_.heartbeat_period, [this] { heartbeat(); });
}

void leased_runs_schedule::restart()
{
    const auto clocks = static_cast<int>(rates_.max_first_clock.count());
    worker_.restart(worker_time(clocks > 0 ? draw(clocks) : 0));
    const auto sent = address(worker_.life());
    time_.after(milliseconds(50 + draw(300)),
                [this, sent]
                {
                    to_agent(
                        [this, sent]
                        {
                            if (sent.life <= known_life_)
                                return;
                            known_life_ = sent.life;
                            runs_->set_worker(sent, worker_.clock());
                        });
                });
}

void leased_runs_schedule::tick()
{
    to_agent([this] { runs_->tick(); });
    time_.after(milliseconds(50), [this] { tick(); });
}

bool leased_runs_schedule::is_paused() const
{
    const auto since_start = time_.now().time_since_epoch();
    return since_start % rates_.pause_period < rates_.pause;
}

void leased_runs_schedule::submit()
{
    constexpr std::size_t max_concurrent_runs = 10;
    to_agent(
        [this]
        {
            if (!is_paused() && runs_->ready() &&
                runs_->size() < max_concurrent_runs)
                start();
        });
    time_.after(milliseconds(1 + draw(30)), [this] { submit(); });
}

void leased_runs_schedule::start()
{
    upstream_call call;
    call.submission = submission_id("s" + std::to_string(++submitted_));
    call.attempt = attempt_number(1);
    call.retry_window = rates_.retry_window;
    const task_run run{call.submission, call.index, call.attempt};
    if (chance(5))
        time_.after(milliseconds(draw(200)), [this, run]
                    { to_agent([this, run] { runs_->stop(run); }); });
    started_by_[run] = process_;
    runs_->start(call,
                 [this, run](const task_result& result)
                 {
                     ++reported;
                     if (!may_begin_later(result))
                         reported_runs_.insert(run);
                     if (worker_.runs(run))
                         violations.push_back(
                             "a run was reported while it went on: " +
                             describe(run));
                 });
}

bool leased_runs_schedule::may_begin_later(const task_result& result) const
{
    return rates_.retry_window == duration::zero() &&
           result->ran == effect::unknown;
}

template <typename Reply>
void leased_runs_schedule::exchange(
    duration timeout, std::function<void(const Reply&)> done,
    const std::function<void(std::function<void(Reply)>)>& execute)
{
    const auto answered = std::make_shared<bool>(false);
    const auto finish =
        [this, answered, done, process = process_](const Reply& reply)
    {
        if (process != process_)
            return;
        to_agent(
            [answered, done, reply]
            {
                if (!std::exchange(*answered, true))
                    done(reply);
            });
    };
    time_.after(timeout, [finish] { finish(Reply()); });
    const bool late =
        chance(rates_.orders_late) || time_.now() < unanswered_until_;
    const bool lost = late || chance(rates_.answers_lost);
    const auto order_delay =
        late ? milliseconds(draw(count_ms(rates_.max_lateness)))
             : milliseconds(chance(rates_.orders_delayed) ? draw(30) : 0);
    const bool reset = lost && !late && chance(50);
    time_.after(order_delay,
                [this, finish, execute, lost, reset]
                {
                    execute(
                        [this, finish, lost, reset](const Reply& reply)
                        {
                            if (reset)
                                return finish(Reply());
                            if (lost)
                                return;
                            const auto answer_delay =
                                chance(rates_.answers_delayed) ? draw(150) : 0;
                            time_.after(milliseconds(answer_delay),
                                        [finish, reply] { finish(reply); });
                        });
                });
}

worker_hooks leased_runs_schedule::hooks()
{
    return {
        .start =
            [this](const worker_address&, const start_order& order,
                   std::function<void(const order_reply&)> done)
        {
            const auto work =
                milliseconds(20 + draw(count_ms(rates_.max_work)));
            exchange<order_reply>(milliseconds(250), std::move(done),
                                  [this, order, work](const auto& answer)
                                  { answer(worker_.start(order, work)); });
        },
        .stop =
            [this](const worker_address&, const stop_order& order,
                   std::function<void(const order_reply&)> done)
        {
            const auto takes =
                milliseconds(draw(std::max(1, count_ms(rates_.max_stop_time))));
            exchange<order_reply>(milliseconds(250), std::move(done),
                                  [this, order, takes](const auto& answer)
                                  { answer(worker_.stop(order, takes)); });
        },
        .extend =
            [this](const worker_address& to, const lease_order& order,
                   std::function<void(const lease_reply&)> done)
        {
            exchange<lease_reply>(
                order.wait > duration::zero() ? order.wait + milliseconds(250)
                                              : milliseconds(100),
                std::move(done),
                [this, order, life = to.life](const auto& answer)
                {
                    worker_.extend(order,
                                   [this, life, answer](lease_reply reply)
                                   {
                                       if (life != worker_.life())
                                           reply = next_life();
                                       answer(std::move(reply));
                                   });
                });
        }};
}

lease_reply leased_runs_schedule::next_life()
{
    lease_reply reply;
    reply.order.result = order_result::next_life;
    return reply;
}

} // namespace lagoonquay
