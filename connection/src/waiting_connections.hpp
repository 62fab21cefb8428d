//! The connections of a listener that wait for their peer.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace lagoonquay
{

//! Knows which connection has waited longest. Thread-safe.
class waiting_connections
{
public:
    using number = std::uint64_t;

    //! @param give_way  closes the connection, and returns whether a place is
    //!                  free by it; called without the lock, once at most, and
    //!                  never after remove().
    //! @return its number, for remove().
    number add(std::function<bool()> give_way);

    void remove(number it);

    //! Closes the one that has waited longest, if it has waited for `least`.
    //! @return whether a place is free by it.
    bool close_longest(duration least = duration::zero());

    //! @return how many wait.
    std::size_t size() const;

private:
    struct waiting
    {
        instant since{};
        std::function<bool()> give_way;
    };

    std::function<bool()> take_longest(duration least);

    mutable std::mutex mutex_;
    std::map<number, waiting> waiting_;
    number next_ = 1;
};

} // namespace lagoonquay
