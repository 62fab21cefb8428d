#include "virtual_time.hpp"

namespace lagoonquay
{

namespace
{

constexpr wall_time wall_start(std::chrono::hours(24 * 365 * 50));

} // namespace

instant virtual_time::now() const noexcept
{
    return now_;
}

wall_time virtual_time::wall() const noexcept
{
    const auto elapsed = now_.time_since_epoch();
    return wall_start +
           std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
}

void virtual_time::after(duration delay, std::function<void()> work)
{
    pending_.emplace(key{now_ + delay, scheduled_++}, std::move(work));
}

void virtual_time::advance(duration span)
{
    const auto end = now_ + span;
    while (!pending_.empty() && pending_.begin()->first.when <= end)
    {
        auto due = pending_.extract(pending_.begin());
        now_ = due.key().when;
        due.mapped()();
    }
    now_ = end;
}

} // namespace lagoonquay
