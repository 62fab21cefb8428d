//! Time for tests, with what happens at given moments.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace lagoonquay
{

//! Runs events in the order of their virtual time.
class virtual_time
{
public:
    using event = std::function<void()>;

    instant now() const noexcept
    {
        return now_;
    }
    void after(duration delay, event run)
    {
        events_.emplace(now_ + delay, std::move(run));
    }
    //! Runs every event up to `until`.
    void run_until(instant until)
    {
        while (!events_.empty() && events_.begin()->first <= until)
        {
            auto node = events_.extract(events_.begin());
            now_ = std::max(now_, node.key());
            node.mapped()();
        }
        now_ = until;
    }

private:
    instant now_{std::chrono::seconds(1000)};
    std::multimap<instant, event> events_;
};

} // namespace lagoonquay
