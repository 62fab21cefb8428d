#include "lagoonquay/connection/credit_account.hpp"

#include <algorithm>

namespace lagoonquay
{

void credit_account::update(std::uint64_t granted_total,
                            std::uint64_t recalled_total) noexcept
{
    granted_ = std::max(granted_, granted_total);
    recalled_ = std::max(recalled_, recalled_total);
}

bool credit_account::take() noexcept
{
    if (available() == 0)
        return false;
    ++used_;
    return true;
}

void credit_account::untake() noexcept
{
    if (used_ > 0)
        --used_;
}

bool credit_account::give_back() noexcept
{
    if (recalled_ <= returned_)
        return false;
    const auto due = recalled_ - returned_;
    const auto amount = std::min<std::uint64_t>(due, available());
    returned_ += amount;
    return amount > 0;
}

std::uint32_t credit_account::available() const noexcept
{
    const auto spent = used_ + returned_;
    return spent >= granted_ ? 0 : static_cast<std::uint32_t>(granted_ - spent);
}

std::uint64_t credit_account::returned_total() const noexcept
{
    return returned_;
}

} // namespace lagoonquay
