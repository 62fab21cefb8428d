#include "lagoonquay/process/io_threads.hpp"

#include "lagoonquay/process/log.hpp"

#include <atomic>
#include <boost/asio.hpp>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

namespace net = boost::asio;

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "io";

void log_unexpected(const std::exception& error)
{
    write_log(log_level::error, part,
              std::string("Work ended by an unexpected error: ") +
                  error.what() + ".");
}

// An error ends the work that met it, and not the process.
void run_logged(const std::function<void()>& work)
{
    try
    {
        work();
    }
    catch (const std::exception& e)
    {
        log_unexpected(e);
    }
}

// A context goes on after an exception with the next handler.
void run_context(net::io_context& context)
{
    while (!context.stopped())
        run_logged([&] { context.run(); });
}

using lateness_hook =
    std::function<void(net::steady_timer::clock_type::duration)>;

//! Repeats work; keeps itself alive through its pending wait.
class repeating_timer : public std::enable_shared_from_this<repeating_timer>
{
public:
    repeating_timer(net::io_context& io, duration period,
                    std::function<void()> work, lateness_hook on_delay)
        : timer_(io), period_(period), work_(std::move(work)),
          on_delay_(std::move(on_delay))
    {
    }

    void wait()
    {
        timer_.expires_after(period_);
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (ec)
                    return;
                self->on_delay_(net::steady_timer::clock_type::now() -
                                self->timer_.expiry());
                run_logged(self->work_);
                self->wait();
            });
    }

private:
    net::steady_timer timer_;
    duration period_;
    std::function<void()> work_;
    lateness_hook on_delay_;
};

} // namespace

struct io_threads::state
{
    // Told of a single thread, Asio wakes no other one.
    explicit state(std::size_t count) : context(static_cast<int>(count))
    {
    }

    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> guard{
        context.get_executor()};
    std::vector<std::thread> threads;
    net::signal_set signals{context};
    net::signal_set reloads{context};
    std::function<void()> reload;
    std::atomic<duration::rep> longest_delay{0};
    std::atomic<duration::rep> usual_delay{0};

    void note_delay(duration late)
    {
        usual_delay = (3 * usual_delay.load() + late.count()) / 4;
        auto longest = longest_delay.load();
        while (late.count() > longest &&
               !longest_delay.compare_exchange_weak(longest, late.count()))
        {
        }
    }

    void wait_for_reload()
    {
        reloads.async_wait(
            [this](boost::system::error_code ec, int)
            {
                if (ec)
                    return;
                run_logged(reload);
                wait_for_reload();
            });
    }
};

io_threads::io_threads(std::size_t threads)
    : state_(std::make_unique<state>(threads))
{
    for (std::size_t n = 0; n < threads; ++n)
        state_->threads.emplace_back([this] { run_context(state_->context); });
}

io_threads::~io_threads()
{
    stop();
}

net::io_context& io_threads::context() noexcept
{
    return state_->context;
}

void io_threads::after(duration delay, std::function<void()> work)
{
    const auto timer = std::make_shared<net::steady_timer>(state_->context);
    timer->expires_after(delay);
    timer->async_wait(
        [timer, it = std::move(work)](boost::system::error_code ec)
        {
            if (!ec)
                it();
        });
}

void io_threads::every(duration period, std::function<void()> work)
{
    const auto timer = std::make_shared<repeating_timer>(
        state_->context, period, std::move(work),
        [&state = *state_](auto late)
        { state.note_delay(std::chrono::duration_cast<duration>(late)); });
    timer->wait();
}

duration io_threads::usual_delay() const noexcept
{
    return duration(state_->usual_delay.load());
}

duration io_threads::take_longest_delay() noexcept
{
    return duration(state_->longest_delay.exchange(0));
}

void io_threads::on_reload(std::function<void()> work)
{
    state_->reload = std::move(work);
    state_->reloads.add(SIGHUP);
    state_->wait_for_reload();
}

void io_threads::post(std::function<void()> work)
{
    net::post(state_->context, std::move(work));
}

void io_threads::wait_for_stop_signal()
{
    std::promise<void> received;
    state_->signals.add(SIGTERM);
    state_->signals.add(SIGINT);
    state_->signals.async_wait([&](boost::system::error_code, int)
                               { received.set_value(); });
    received.get_future().wait();
}

void io_threads::stop()
{
    state_->context.stop();
    for (auto& it : state_->threads)
    {
        if (it.joinable())
            it.join();
    }
}

} // namespace lagoonquay
