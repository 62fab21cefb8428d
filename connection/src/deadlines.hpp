//! Deadlines of many operations on one timer.
#pragma once

#include "beast_common.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace lagoonquay
{

//! Most deadlines are taken back before they pass. A timer for each would cost
//! more than the operation that it guards. Thread-safe.
class deadlines : public std::enable_shared_from_this<deadlines>
{
public:
    //! Names one deadline.
    struct handle
    {
        instant at{};
        std::uint64_t number = 0;

        friend auto operator<=>(const handle&, const handle&) = default;
    };

    explicit deadlines(net::io_context& io);

    //! @param passed  called on an I/O thread, without the lock, unless the
    //!                deadline is taken back before.
    handle add(duration limit, std::function<void()> passed);

    //! Takes a deadline back; one that has passed is ignored.
    void remove(const handle& it);

private:
    void arm(instant at);
    void on_timer();
    std::vector<std::function<void()>> take_passed(instant now);

    std::mutex mutex_;
    net::steady_timer timer_;
    std::map<handle, std::function<void()>> waiting_;
    std::optional<instant> armed_;
    std::uint64_t last_ = 0;
};

} // namespace lagoonquay
