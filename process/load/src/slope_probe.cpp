#include "slope_probe.hpp"

#include <ctime>
#include <malloc.h>

namespace lagoonquay::load
{

namespace
{

constexpr std::size_t repeats = 5;

} // namespace

slope measure(const std::string& name, const std::string& unit,
              const std::vector<std::size_t>& sizes, const probe& once)
{
    slope found{name, unit, {}, {}};
    for (const auto size : sizes)
    {
        std::vector<double> values;
        values.reserve(repeats);
        for (std::size_t n = 0; n < repeats; ++n)
            values.push_back(once(size));
        found.points.push_back({static_cast<double>(size), median(values)});
    }
    found.fitted = fit_line(found.points);
    return found;
}

double processor_us()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    constexpr double us_per_s = 1e6;
    constexpr double ns_per_us = 1e3;
    return static_cast<double>(now.tv_sec) * us_per_s +
           static_cast<double>(now.tv_nsec) / ns_per_us;
}

double allocated_bytes()
{
    const auto use = mallinfo2();
    return static_cast<double>(use.uordblks + use.hblkhd);
}

double time_of(const std::function<void()>& work)
{
    const auto before = processor_us();
    work();
    return processor_us() - before;
}

} // namespace lagoonquay::load
