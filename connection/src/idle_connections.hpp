//! The connections of a listener that wait for a request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace lagoonquay
{

//! Knows which connection has waited longest. Thread-safe.
class idle_connections
{
public:
    using number = std::uint64_t;

    //! @param give_way  closes the connection; called without the lock, once
    //!                  at most, and never after remove().
    //! @return its number, for remove().
    number add(std::function<void()> give_way);

    void remove(number it);

    //! Closes the one that has waited longest. @return false if none waits.
    bool close_longest();

private:
    std::mutex mutex_;
    std::map<number, std::function<void()>> waiting_;
    number next_ = 1;
};

} // namespace lagoonquay
