//! What was sent, answered and run, with the time since the start.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <fstream>
#include <mutex>
#include <string>

namespace lagoonquay::review
{

//! Thread-safe.
class record
{
public:
    explicit record(const std::string& path) : file_(path)
    {
    }

    //! @return milliseconds since the start.
    std::int64_t now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - began_)
            .count();
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        file_ << now() << " ms  " << line << std::endl;
    }

private:
    const std::chrono::steady_clock::time_point began_ =
        std::chrono::steady_clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace lagoonquay::review
