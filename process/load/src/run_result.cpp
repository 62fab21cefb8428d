#include "lagoonquay/load/run_result.hpp"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <sstream>

namespace lagoonquay::load
{

namespace
{

constexpr int name_width = 34;
constexpr int value_width = 14;

std::optional<double> value_of(const run_result& result,
                               const std::string& name)
{
    for (const auto& it : result->figures)
    {
        if (it.name == name)
            return it.value;
    }
    return std::nullopt;
}

std::ostringstream make_table()
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << std::left;
    return out;
}

void add_value(std::ostringstream& out, double value)
{
    out << std::right << std::setw(value_width) << value << std::left;
}

void add_heads(std::ostringstream& out, const std::vector<std::string>& heads)
{
    out << std::setw(name_width) << "figure" << std::right;
    for (const auto& it : heads)
        out << std::setw(value_width) << it;
    out << std::left << "  unit\n";
}

} // namespace

std::string to_table(const run_result& result)
{
    auto out = make_table();
    out << result->experiment << ", seed " << result->seed << "\n";
    add_heads(out, {"value"});
    for (const auto& it : result->figures)
    {
        out << std::setw(name_width) << it.name;
        add_value(out, it.value);
        out << "  " << it.unit << "\n";
    }
    for (const auto& it : result->notes)
        out << it << "\n";
    return out.str();
}

std::string compare(const run_result& first, const run_result& second)
{
    auto out = make_table();
    add_heads(out, {"first", "second", "second/first"});
    for (const auto& it : first->figures)
    {
        const auto other = value_of(second, it.name);
        if (!other)
            continue;
        out << std::setw(name_width) << it.name;
        add_value(out, it.value);
        add_value(out, *other);
        add_value(out, it.value == 0 ? 0 : *other / it.value);
        out << "  " << it.unit << "\n";
    }
    return out.str();
}

std::string summarize(const std::vector<run_result>& runs)
{
    auto out = make_table();
    out << runs.size() << " runs\n";
    add_heads(out, {"median", "least", "most"});
    if (runs.empty())
        return out.str();
    for (const auto& it : runs.front()->figures)
    {
        std::vector<double> values;
        for (const auto& run : runs)
        {
            if (const auto value = value_of(run, it.name))
                values.push_back(*value);
        }
        out << std::setw(name_width) << it.name;
        add_value(out, median(values));
        add_value(out, *std::min_element(values.begin(), values.end()));
        add_value(out, *std::max_element(values.begin(), values.end()));
        out << "  " << it.unit << "\n";
    }
    return out.str();
}

} // namespace lagoonquay::load
