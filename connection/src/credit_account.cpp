#include "lagoonquay/connection/credit_account.hpp"

#include <algorithm>

namespace lagoonquay
{

void credit_account::update(std::uint64_t granted_total) noexcept
{
    granted_ = std::max(granted_, granted_total);
}

bool credit_account::take() noexcept
{
    if (available() == 0)
        return false;
    ++used_;
    return true;
}

void credit_account::undo_take() noexcept
{
    if (used_ > 0)
        --used_;
}

std::uint64_t credit_account::give_back() noexcept
{
    returned_ += available();
    used_ = std::max(used_, granted_);
    return returned_;
}

std::uint32_t credit_account::available() const noexcept
{
    return used_ >= granted_ ? 0 : static_cast<std::uint32_t>(granted_ - used_);
}

} // namespace lagoonquay
