#include "deadlines.hpp"

namespace lagoonquay
{

deadlines::deadlines(net::io_context& io) : timer_(io)
{
}

deadlines::handle deadlines::add(duration limit, std::function<void()> passed)
{
    const std::lock_guard lock(mutex_);
    const handle added{steady_now() + limit, ++last_};
    waiting_.emplace(added, std::move(passed));
    if (!armed_ || added.at < *armed_)
        arm(added.at);
    return added;
}

void deadlines::remove(const handle& it)
{
    const std::lock_guard lock(mutex_);
    waiting_.erase(it);
}

// Call under the lock. A timer that is set anew ends the wait before.
void deadlines::arm(instant at)
{
    armed_ = at;
    timer_.expires_after(at - steady_now());
    timer_.async_wait(
        [weak = weak_from_this()](error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self)
                self->on_timer();
        });
}

void deadlines::on_timer()
{
    std::vector<std::function<void()>> passed;
    {
        const std::lock_guard lock(mutex_);
        passed = take_passed(steady_now());
        armed_.reset();
        if (!waiting_.empty())
            arm(waiting_.begin()->first.at);
    }
    // Those after a call that throws are due as well.
    for (const auto& it : passed)
        net::post(timer_.get_executor(), it);
}

// Call under the lock.
std::vector<std::function<void()>> deadlines::take_passed(instant now)
{
    std::vector<std::function<void()>> passed;
    while (!waiting_.empty() && waiting_.begin()->first.at <= now)
    {
        passed.push_back(std::move(waiting_.begin()->second));
        waiting_.erase(waiting_.begin());
    }
    return passed;
}

} // namespace lagoonquay
