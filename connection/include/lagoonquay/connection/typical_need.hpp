//! What the tasks of one agent usually need. Pure.
#pragma once

#include "lagoonquay/request/need.hpp"

#include <cstdint>

namespace lagoonquay
{

//! Averages the needs of the latest tasks. Not thread-safe.
class typical_need
{
public:
    void note(const resources& need) noexcept;

    //! @return how many usual tasks a capacity holds, rounded up; a few before
    //! the first task, `most` where their needs don't limit them; at least one.
    std::uint32_t fitting(const resources& capacity,
                          std::uint32_t most) const noexcept;

private:
    bool known_ = false;
    double processors_milli_ = 0;
    double memory_mb_ = 0;
    double accelerators_ = 0;
};

} // namespace lagoonquay
