#include "lagoonquay/process/io_threads.hpp"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <stdexcept>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;

// Regression: an exception that no handler caught ended the process.
TEST(io_threads, go_on_after_an_error_in_their_work)
{
    io_threads io(1);
    std::promise<void> done;
    io.post([] { throw std::runtime_error("unexpected"); });
    io.after(milliseconds(1), [] { throw std::runtime_error("unexpected"); });
    io.after(milliseconds(2), [&] { done.set_value(); });
    done.get_future().wait();
}

TEST(io_threads, repeat_work_that_met_an_error)
{
    io_threads io(2);
    std::atomic<int> calls{0};
    std::promise<void> third;
    io.every(milliseconds(1),
             [&]
             {
                 if (++calls == 3)
                     third.set_value();
                 throw std::runtime_error("unexpected");
             });
    third.get_future().wait();
    io.stop();
}

} // namespace

} // namespace lagoonquay
