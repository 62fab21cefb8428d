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

//! Faults of messages in percent, and of processes by their period.
struct trouble
{
    int answers_lost = 0;
    int answers_slow = 0; //!< delayed by up to 150 ms
    int orders_late = 0;  //!< executed up to 3 s later, without an answer
    int orders_slow = 0;  //!< executed up to 30 ms later
    duration restarts{};  //!< between two lives of the worker; zero for none
    duration freezes{};   //!< between two stops of the agent; zero for none
    duration pause{};     //!< without starts, each 5 s
    duration mutes{};     //!< between two spans without any answer
};

class leased_runs_schedule
{
public:
    leased_runs_schedule(std::uint32_t seed, const trouble& what)
        : random_(seed), what_(what), worker_(time_, 98 + draw(3)),
          runs_({}, {.now = [this] { return time_.now(); },
                     .worker = hooks(),
                     .on_readiness = {}})
    {
        worker_.on_begin = [this](const task_run& run)
        {
            if (over_.contains(run))
                faults.push_back("a run began after it was reported: " +
                                 describe(run));
        };
        heartbeat();
        tick();
        submit();
        if (what_.restarts > duration::zero())
            every(what_.restarts, [this] { restart(); });
        if (what_.mutes > duration::zero())
            every(what_.mutes,
                  [this] {
                      mute_until_ =
                          time_.now() + milliseconds(500 + draw(1500));
                  });
        if (what_.freezes > duration::zero())
            every(what_.freezes, [this]
                  { frozen_until_ = time_.now() + milliseconds(draw(3000)); });
    }

    void play(duration length)
    {
        time_.run_until(time_.now() + length);
    }

    std::vector<std::string> faults;
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
        const auto played =
            std::chrono::duration_cast<milliseconds>(time_.now() - began_);
        return run.submission.text() + " at " + std::to_string(played.count()) +
               " ms";
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
        const auto told = address(worker_.life());
        const auto clock = worker_.clock();
        time_.after(milliseconds(1 + draw(20)),
                    [this, told, clock]
                    {
                        to_agent(
                            [this, told, clock]
                            {
                                if (told.life >= known_)
                                    runs_.set_worker(told, clock);
                                known_ = std::max(known_, told.life);
                            });
                    });
        time_.after(milliseconds(1500), [this] { heartbeat(); });
    }

    void restart()
    {
        worker_.restart();
        const auto told = address(worker_.life());
        time_.after(milliseconds(50 + draw(300)),
                    [this, told]
                    {
                        to_agent(
                            [this, told]
                            {
                                if (told.life <= known_)
                                    return;
                                known_ = told.life;
                                runs_.set_worker(told, worker_.clock());
                            });
                    });
    }

    void tick()
    {
        to_agent([this] { runs_.tick(); });
        time_.after(milliseconds(50), [this] { tick(); });
    }

    bool pauses() const
    {
        const auto since_start = time_.now().time_since_epoch();
        return since_start % std::chrono::seconds(5) < what_.pause;
    }

    void submit()
    {
        constexpr std::size_t most_at_once = 10;
        to_agent(
            [this]
            {
                if (!pauses() && runs_.ready() && runs_.size() < most_at_once)
                    start();
            });
        time_.after(milliseconds(1 + draw(30)), [this] { submit(); });
    }

    void start()
    {
        upstream_call call;
        call.submission = submission_id("s" + std::to_string(++submitted_));
        call.attempt = attempt_number(1);
        const task_run run{call.submission, call.index, call.attempt};
        if (chance(5))
            time_.after(milliseconds(draw(200)), [this, run]
                        { to_agent([this, run] { runs_.stop(run); }); });
        runs_.start(call,
                    [this, run](const task_result&)
                    {
                        ++reported;
                        over_.insert(run);
                        if (worker_.runs(run))
                            faults.push_back(
                                "a run was reported while it went on: " +
                                describe(run));
                    });
    }

    //! Delivers an order to the worker and its answer to the agent.
    //! @param timeout  after which the agent treats the order as unanswered.
    template <typename Reply>
    void
    exchange(duration timeout, std::function<void(const Reply&)> done,
             const std::function<void(std::function<void(Reply)>)>& carry_out)
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
            chance(what_.orders_late) || time_.now() < mute_until_;
        const bool lost = late || chance(what_.answers_lost);
        const auto on_the_way =
            late ? milliseconds(draw(3000))
                 : milliseconds(chance(what_.orders_slow) ? draw(30) : 0);
        const bool reset = lost && !late && chance(50);
        time_.after(on_the_way,
                    [this, finish, carry_out, lost, reset]
                    {
                        carry_out(
                            [this, finish, lost, reset](const Reply& reply)
                            {
                                if (reset)
                                    return finish(Reply());
                                if (lost)
                                    return;
                                const auto back =
                                    chance(what_.answers_slow) ? draw(150) : 0;
                                time_.after(milliseconds(back),
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
    const trouble what_;
    virtual_time time_;
    const instant began_ = time_.now();
    fake_lease_worker worker_;
    leased_runs runs_;
    worker_life known_{0};
    instant frozen_until_{};
    instant mute_until_{};
    std::uint64_t submitted_ = 0;
    std::set<task_run> over_;
};

void play_seeds(const trouble& what)
{
    constexpr std::uint32_t seeds = 60;
    constexpr duration length = std::chrono::seconds(20);
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        leased_runs_schedule schedule(seed, what);
        schedule.play(length);
        EXPECT_GT(schedule.reported, 20) << "seed " << seed;
        for (const auto& it : schedule.faults)
            ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}

TEST(leased_runs_schedules, calm_messages)
{
    play_seeds({});
}

TEST(leased_runs_schedules, lost_and_slow_answers_end_no_run_that_goes_on)
{
    play_seeds({.answers_lost = 15, .answers_slow = 30, .orders_slow = 30});
}

TEST(leased_runs_schedules, late_orders_begin_no_run_that_was_reported)
{
    play_seeds({.answers_lost = 5, .orders_late = 10, .orders_slow = 10});
}

TEST(leased_runs_schedules, a_worker_that_leaves_all_orders_unanswered)
{
    play_seeds({.answers_lost = 5, .mutes = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_after_a_quiet_span)
{
    play_seeds({.orders_late = 10,
                .pause = std::chrono::seconds(3),
                .mutes = std::chrono::seconds(2)});
}

TEST(leased_runs_schedules, a_next_life_under_the_same_name)
{
    play_seeds({.answers_lost = 5,
                .orders_slow = 10,
                .restarts = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, late_orders_reach_a_next_life)
{
    play_seeds({.answers_lost = 5,
                .orders_late = 5,
                .orders_slow = 10,
                .restarts = std::chrono::seconds(3)});
}

TEST(leased_runs_schedules, an_agent_that_freezes)
{
    play_seeds({.answers_lost = 10,
                .answers_slow = 10,
                .orders_late = 3,
                .orders_slow = 10,
                .freezes = std::chrono::seconds(4)});
}

} // namespace

} // namespace lagoonquay
