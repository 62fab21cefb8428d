//! The threads that run a process's input, output and timers.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace lagoonquay
{

//! A pool of threads over one I/O context. An exception ends the work that
//! threw it, is logged, and leaves all other work as it is. Thread-safe.
class io_threads
{
public:
    explicit io_threads(std::size_t threads);
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    boost::asio::io_context& context() noexcept;

    //! Runs `work` once after `delay` on some thread.
    void after(duration delay, std::function<void()> work);

    //! Runs `work` each `period` until stop(); calls never overlap.
    void every(duration period, std::function<void()> work);

    //! @return by how much the last few timers of every() ran late.
    duration usual_delay() const noexcept;

    //! @return by how much a timer of every() ran late at most since the last
    //! call: work waits about this long for its turn.
    duration take_longest_delay() noexcept;

    //! Runs `work` on some thread at each SIGHUP.
    void on_reload(std::function<void()> work);

    //! Runs `work` once on some thread.
    void post(std::function<void()> work);

    //! Blocks until SIGTERM or SIGINT. Later ones are ignored, so that an
    //! impatient sender does not turn a graceful stop into an abrupt one.
    void wait_for_stop_signal();

    //! Ends the threads; pending work is dropped.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace lagoonquay
