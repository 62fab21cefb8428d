//! What the running tasks of one worker need, against what it has. Pure.
#pragma once

#include "lagoonquay/request/need.hpp"

namespace lagoonquay
{

//! Not thread-safe.
class capacity_account
{
public:
    //! Replaces the capacity; running tasks stay.
    void resize(const resources& capacity) noexcept;

    //! Reserves what a task needs.
    //! @return false if the sum of the needs would exceed the capacity.
    bool reserve(const resources& need) noexcept;

    void release(const resources& need) noexcept;

    const resources& used() const noexcept;

private:
    resources capacity_;
    resources used_;
};

} // namespace lagoonquay
