#include "lagoonquay/load/statistics.hpp"

#include <algorithm>
#include <cmath>

namespace lagoonquay::load
{

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto n = static_cast<double>(values.size());
    const auto rank = std::clamp(std::ceil(share * n), 1.0, n);
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank) - 1;
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto half = values.size() / 2;
    if (values.size() % 2 == 1)
        return values[half];
    return (values[half - 1] + values[half]) / 2;
}

line fit_line(const std::vector<point>& points)
{
    if (points.empty())
        return {};
    const auto n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    for (const auto& it : points)
    {
        x += it.x / n;
        y += it.y / n;
    }
    double xx = 0;
    double xy = 0;
    for (const auto& it : points)
    {
        xx += (it.x - x) * (it.x - x);
        xy += (it.x - x) * (it.y - y);
    }
    const double slope = xx > 0 ? xy / xx : 0;
    return {slope, y - slope * x};
}

} // namespace lagoonquay::load
