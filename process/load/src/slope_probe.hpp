//! Measures time and memory of work at several sizes.
#pragma once

#include "lagoonquay/load/slopes.hpp"

#include <functional>

namespace lagoonquay::load
{

//! Does the work once for a size and returns the measured value.
using probe = std::function<double(std::size_t size)>;

//! Repeats a probe at each size and fits a line through the medians.
slope measure(const std::string& name, const std::string& unit,
              const std::vector<std::size_t>& sizes, const probe& once);

//! @return processor time of this process in us. Not for short spans.
double processor_us();

//! @return bytes that this process has allocated and not freed.
double allocated_bytes();

//! @return processor time of `work` in us.
double time_of(const std::function<void()>& work);

} // namespace lagoonquay::load
