#include "lagoonquay/connection/credit_account.hpp"

#include <algorithm>

namespace lagoonquay
{

void credit_account::update(std::uint64_t granted_total,
                            std::uint64_t recalled_total) noexcept
{
    granted_ = std::max(granted_, granted_total);
    if (recalled_total <= recalled_)
        return;
    const auto due = recalled_total - recalled_;
    recalled_ = recalled_total;
    returned_ += std::min<std::uint64_t>(due, available());
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
    const bool fresh = returned_ > returned_told_;
    returned_told_ = returned_;
    return fresh;
}

std::uint64_t credit_account::granted_total() const noexcept
{
    return granted_;
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
