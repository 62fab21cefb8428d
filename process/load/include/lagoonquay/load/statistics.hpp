//! Statistics of measured values. Pure.
#pragma once

#include <vector>

namespace lagoonquay::load
{

//! Nearest-rank quantile; zero without values. @param share from 0 to 1.
double quantile(std::vector<double> values, double share);

double median(std::vector<double> values);

//! One measured point.
struct point
{
    double x = 0;
    double y = 0;

    friend bool operator==(const point&, const point&) = default;
};

//! A straight line through points.
struct line
{
    double slope = 0;
    double base = 0; //!< y at x = 0

    friend bool operator==(const line&, const line&) = default;
};

//! Least-squares line; needs two points with different x.
line fit_line(const std::vector<point>& points);

} // namespace lagoonquay::load
