//! Lines on their way to a reader that may stop to read.
#pragma once

#include "lagoonquay/process/log.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace lagoonquay
{

//! Hands lines to a thread of its own, as many at a time as wait. Thread-safe.
class log_queue
{
public:
    log_queue(std::size_t most_bytes, log_output output);
    ~log_queue();
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    //! Adds a line, or drops it if too much waits.
    void push(std::string_view line);

    //! Blocks until all is written, or one write takes too long.
    void drain();

    std::uint64_t dropped() const noexcept;

private:
    struct shared;

    static void run(const std::shared_ptr<shared>& state);

    const std::shared_ptr<shared> state_;
};

} // namespace lagoonquay
