// Random schedules, by seed, of late, lost and reordered messages between an
// agent and its worker. A run whose result was reported must have ended and
// must never begin again.
#include "fake_lease_worker.hpp"
#include "lagoonquay/process/leased_runs.hpp"

#include <gtest/gtest.h>
#include <random>
#include <set>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

//! Message faults in percent of the messages, and times between process faults.
struct fault_rates
{
    int answers_lost = 0;
    int answers_delayed = 0; //!< delayed by up to 150 ms
    int orders_late = 0;     //!< executed up to 3 s later, without an answer
    int orders_delayed = 0;  //!< executed up to 30 ms later
    //! Time between two restarts of the worker; zero for none.
    duration restart_period{};
    //! Time between two freezes of the agent; zero for none.
    duration freeze_period{};
    duration pause{}; //!< time without starts in each pause_period
    duration pause_period = std::chrono::seconds(5);
    //! Time between two spans without any answer; zero for none.
    duration mute_period{};
    //! Time in which a task is retried after a result of unknown effect.
    duration retry_window = duration::max();
};

class leased_runs_schedule
{
public:
    leased_runs_schedule(std::uint32_t seed, const fault_rates& rates)
        : random_(seed), rates_(rates), worker_(time_, 98 + draw(3)),
          runs_({}, {.now = [this] { return time_.now(); },
                     .worker = hooks(),
                     .on_readiness = {}})
    {
        worker_.on_begin = [this](const task_run& run)
        {
            if (reported_runs_.contains(run))
                violations.push_back("a run began after it was reported: " +
                                     describe(run));
        };
        heartbeat();
        tick();
        submit();
        if (rates_.restart_period > duration::zero())
            every(rates_.restart_period, [this] { restart(); });
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

    void run_for(duration length)
    {
        time_.run_until(time_.now() + length);
    }

    std::vector<std::string> violations;
    int reported = 0;

private:
    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(random_);
    }

    bool chance(int percent)
    {
        return draw(100) < percent;
    }

    std::string describe(const task_run& run) const
    {
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(time_.now() - began_);
        return run.submission.text() + " at " +
               std::to_string(elapsed.count()) + " ms";
    }

    void every(duration period, const std::function<void()>& call)
    {
        time_.after(period + milliseconds(draw(500)),
                    [this, period, call]
                    {
                        call();
                        every(period, call);
                    });
    }

    //! Calls the agent, or delays the call until it is no longer frozen.
    void to_agent(std::function<void()> call)
    {
        if (time_.now() >= frozen_until_)
            return call();
        time_.after(frozen_until_ - time_.now(), std::move(call));
    }

    worker_address address(worker_life life) const
    {
        return {{"127.0.0.1", 9}, "w", life};
    }

    void heartbeat()
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
                                    runs_.set_worker(sent, clock);
                                known_life_ = std::max(known_life_, sent.life);
                            });
                    });
        time_.after(milliseconds(1500), [this] { heartbeat(); });
    }

    void restart()
    {
        worker_.restart();
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
                                runs_.set_worker(sent, worker_.clock());
                            });
                    });
    }

    void tick()
    {
        to_agent([this] { runs_.tick(); });
        time_.after(milliseconds(50), [this] { tick(); });
    }

    bool is_paused() const
    {
        const auto since_start = time_.now().time_since_epoch();
        return since_start % rates_.pause_period < rates_.pause;
    }

    void submit()
    {
        constexpr std::size_t max_concurrent_runs = 10;
        to_agent(
            [this]
            {
                if (!is_paused() && runs_.ready() &&
                    runs_.size() < max_concurrent_runs)
                    start();
            });
        time_.after(milliseconds(1 + draw(30)), [this] { submit(); });
    }

    void start()
    {
        upstream_call call;
        call.submission = submission_id("s" + std::to_string(++submitted_));
        call.attempt = attempt_number(1);
        call.retry_window = rates_.retry_window;
        const task_run run{call.submission, call.index, call.attempt};
        if (chance(5))
            time_.after(milliseconds(draw(200)), [this, run]
                        { to_agent([this, run] { runs_.stop(run); }); });
        runs_.start(call,
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

    //! The result of a task that is not retried says that the run may have
    //! begun, so the run may begin later as well.
    bool may_begin_later(const task_result& result) const
    {
        return rates_.retry_window == duration::zero() &&
               result->ran == effect::unknown;
    }

    //! Delivers an order to the worker and its answer to the agent.
    //! @param timeout  after which the agent treats the order as unanswered.
    template <typename Reply>
    void
    exchange(duration timeout, std::function<void(const Reply&)> done,
             const std::function<void(std::function<void(Reply)>)>& execute)
    {
        const auto answered = std::make_shared<bool>(false);
        const auto finish = [this, answered, done](const Reply& reply)
        {
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
            late ? milliseconds(draw(3000))
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
                                    chance(rates_.answers_delayed) ? draw(150)
                                                                   : 0;
                                time_.after(milliseconds(answer_delay),
                                            [finish, reply] { finish(reply); });
                            });
                    });
    }

    worker_hooks hooks()
    {
        return {
            .start =
                [this](const worker_address&, const start_order& order,
                       std::function<void(const order_reply&)> done)
            {
                const auto work = milliseconds(20 + draw(400));
                exchange<order_reply>(milliseconds(250), std::move(done),
                                      [this, order, work](const auto& answer)
                                      { answer(worker_.start(order, work)); });
            },
            .stop =
                [this](const worker_address&, const stop_order& order,
                       std::function<void(const order_reply&)> done)
            {
                const auto takes = milliseconds(draw(50));
                exchange<order_reply>(milliseconds(250), std::move(done),
                                      [this, order, takes](const auto& answer)
                                      { answer(worker_.stop(order, takes)); });
            },
            .extend =
                [this](const worker_address& to, const lease_order& order,
                       std::function<void(const lease_reply&)> done)
            {
                exchange<lease_reply>(
                    order.wait > duration::zero()
                        ? order.wait + milliseconds(250)
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

    //! Reports identify the worker's life; answers to other orders don't.
    static lease_reply next_life()
    {
        lease_reply reply;
        reply.order.result = order_result::next_life;
        return reply;
    }

    std::mt19937 random_;
    const fault_rates rates_;
    virtual_time time_;
    const instant began_ = time_.now();
    fake_lease_worker worker_;
    leased_runs runs_;
    worker_life known_life_{0};
    instant frozen_until_{};
    instant unanswered_until_{};
    std::uint64_t submitted_ = 0;
    std::set<task_run> reported_runs_;
};

void run_seeds(const fault_rates& rates)
{
    constexpr std::uint32_t seeds = 60;
    constexpr duration length = std::chrono::seconds(20);
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        leased_runs_schedule schedule(seed, rates);
        schedule.run_for(length);
        EXPECT_GT(schedule.reported, 20) << "seed " << seed;
        for (const auto& it : schedule.violations)
            ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}

TEST(leased_runs_schedules, no_faults)
{
    run_seeds({});
}

TEST(leased_runs_schedules, lost_and_delayed_answers_end_no_active_run)
{
    run_seeds(
        {.answers_lost = 15, .answers_delayed = 30, .orders_delayed = 30});
}

TEST(leased_runs_schedules, late_orders_begin_no_run_that_was_reported)
{
    run_seeds({.answers_lost = 5, .orders_late = 10, .orders_delayed = 10});
}

TEST(leased_runs_schedules, a_worker_that_leaves_all_orders_unanswered)
{
    run_seeds({.answers_lost = 5, .mute_period = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_after_a_pause)
{
    run_seeds({.orders_late = 10,
               .pause = std::chrono::seconds(3),
               .mute_period = std::chrono::seconds(2)});
}

TEST(leased_runs_schedules, a_worker_that_restarts_under_the_same_name)
{
    run_seeds({.answers_lost = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3)});
}

// Lives are shorter than the time until the agent hears of the next one.
TEST(leased_runs_schedules, a_worker_whose_lives_are_short)
{
    run_seeds({.answers_lost = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::milliseconds(300),
               .pause = std::chrono::milliseconds(400),
               .pause_period = std::chrono::milliseconds(500)});
}

TEST(leased_runs_schedules, late_orders_to_a_worker_whose_lives_are_short)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 30,
               .restart_period = std::chrono::milliseconds(300),
               .pause = std::chrono::milliseconds(400),
               .pause_period = std::chrono::milliseconds(500)});
}

TEST(leased_runs_schedules, late_orders_reach_a_next_life)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_begin_no_run_that_was_said_not_to_run)
{
    run_seeds({.answers_lost = 5,
               .orders_late = 5,
               .orders_delayed = 10,
               .restart_period = std::chrono::seconds(3),
               .retry_window = duration::zero()});
}

TEST(leased_runs_schedules, an_agent_that_freezes)
{
    run_seeds({.answers_lost = 10,
               .answers_delayed = 10,
               .orders_late = 3,
               .orders_delayed = 10,
               .freeze_period = std::chrono::seconds(4)});
}

} // namespace

} // namespace lagoonquay
