#include "lagoonquay/connection/capacity_account.hpp"

namespace lagoonquay
{

void capacity_account::resize(const resources& capacity) noexcept
{
    capacity_ = capacity;
}

bool capacity_account::reserve(const resources& need) noexcept
{
    const auto sum = add(used_, need);
    // A task that needs nothing runs even after the worker has shrunk.
    if (need != resources() && !fits(sum, capacity_))
        return false;
    used_ = sum;
    return true;
}

void capacity_account::release(const resources& need) noexcept
{
    used_ = subtract(used_, need);
}

const resources& capacity_account::used() const noexcept
{
    return used_;
}

} // namespace lagoonquay
