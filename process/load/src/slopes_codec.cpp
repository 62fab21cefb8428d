#include "lagoonquay/load/slopes.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace json = boost::json;

namespace lagoonquay::load
{

namespace
{

bool is_cost(const figure& it)
{
    return it.name.ends_with("_processor") || it.name.ends_with("_resident");
}

double value_of(const run_result& run, const std::string& name)
{
    for (const auto& it : run->figures)
    {
        if (it.name == name)
            return it.value;
    }
    return 0;
}

} // namespace

std::vector<slope> fit_runs(const std::vector<run_result>& runs)
{
    std::vector<slope> found;
    if (runs.empty())
        return found;
    for (const auto& it : runs.front()->figures)
    {
        if (!is_cost(it))
            continue;
        slope one{it.name + "_per_start", it.unit, {}, {}};
        for (const auto& run : runs)
            one.points.push_back(
                {value_of(run, "starts"), value_of(run, it.name)});
        one.fitted = fit_line(one.points);
        found.push_back(std::move(one));
    }
    return found;
}

std::string to_table(const std::vector<slope>& slopes)
{
    constexpr int name_width = 36;
    constexpr int value_width = 16;
    std::ostringstream out;
    out << std::left << std::setw(name_width) << "figure" << std::right
        << std::setw(value_width) << "slope" << std::setw(value_width) << "base"
        << "  unit, and the points\n";
    for (const auto& it : slopes)
    {
        out << std::left << std::setw(name_width) << it.name << std::right
            << std::setw(value_width) << it.fitted.slope
            << std::setw(value_width) << it.fitted.base << "  " << it.unit;
        for (const auto& one : it.points)
            out << "  " << one.x << ":" << one.y;
        out << "\n";
    }
    return out.str();
}

std::string encode_slopes(const std::vector<slope>& slopes)
{
    json::array array;
    for (const auto& it : slopes)
    {
        json::array points;
        for (const auto& one : it.points)
            points.push_back(json::object{{"x", one.x}, {"y", one.y}});
        array.push_back(json::object{{"name", it.name},
                                     {"unit", it.unit},
                                     {"slope", it.fitted.slope},
                                     {"base", it.fitted.base},
                                     {"points", std::move(points)}});
    }
    return json::serialize(json::object{{"slopes", std::move(array)}});
}

} // namespace lagoonquay::load
