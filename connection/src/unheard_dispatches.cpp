#include "lagoonquay/connection/unheard_dispatches.hpp"

namespace lagoonquay
{

void unheard_dispatches::sent(const resources& need)
{
    on_their_way_.push_back(need);
    needs_ = add(needs_, need);
}

void unheard_dispatches::confirmed(std::uint64_t total)
{
    for (; confirmed_ < total && !on_their_way_.empty(); ++confirmed_)
    {
        needs_ = subtract(needs_, on_their_way_.front());
        on_their_way_.pop_front();
    }
}

std::uint32_t unheard_dispatches::count() const noexcept
{
    return static_cast<std::uint32_t>(on_their_way_.size());
}

const resources& unheard_dispatches::needs() const noexcept
{
    return needs_;
}

} // namespace lagoonquay
