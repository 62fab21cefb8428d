#include "lagoonquay/load/run_result.hpp"

#include <algorithm>
#include <sstream>

namespace lagoonquay::load
{

namespace
{

constexpr double plot_width = 720;
constexpr double plot_height = 240;
constexpr double margin = 40;

std::string escape(const std::string& text)
{
    std::string out;
    for (const char it : text)
    {
        if (it == '<')
            out += "&lt;";
        else if (it == '&')
            out += "&amp;";
        else
            out += it;
    }
    return out;
}

//! Largest x and y of a plot; never zero.
point extent(const std::vector<point>& points)
{
    point most{1, 1};
    for (const auto& it : points)
        most = {std::max(most.x, it.x), std::max(most.y, it.y)};
    return most;
}

point place(const point& it, const point& most)
{
    return {margin + it.x / most.x * plot_width,
            margin / 2 + (1 - it.y / most.y) * plot_height};
}

void add_axes(std::ostringstream& out, const point& most, const char* x_name,
              const char* y_name)
{
    const auto origin = place({0, 0}, most);
    const auto corner = place(most, most);
    out << "<path class=axis d='M" << origin.x << " " << corner.y << "V"
        << origin.y << "H" << corner.x << "'/>"
        << "<text x=" << origin.x << " y=12>" << y_name << " (to " << most.y
        << ")</text><text x=" << origin.x << " y=" << origin.y + 16 << ">"
        << x_name << " (to " << most.x << ")</text>";
}

void open_plot(std::ostringstream& out, const char* title)
{
    out << "<h2>" << title << "</h2><svg viewBox='0 0 "
        << plot_width + 2 * margin << " " << plot_height + 2 * margin << "'>";
}

void add_dots(std::ostringstream& out, const std::vector<point>& points)
{
    open_plot(out, "Response over ideal, by arrival");
    const auto most = extent(points);
    add_axes(out, most, "s since the start", "response / ideal");
    for (const auto& it : points)
    {
        const auto at = place(it, most);
        out << "<circle r=2 cx=" << at.x << " cy=" << at.y << " />";
    }
    out << "</svg>";
}

void add_curve(std::ostringstream& out, const std::vector<point>& points)
{
    open_plot(out, "Running tasks");
    const auto most = extent(points);
    add_axes(out, most, "s since the start", "tasks");
    out << "<polyline points='";
    for (const auto& it : points)
    {
        const auto at = place(it, most);
        out << at.x << "," << at.y << " ";
    }
    out << "'/></svg>";
}

constexpr const char* style =
    "body{font:14px sans-serif;max-width:60em;margin:2em auto}"
    "td{padding:0 1em}svg{width:100%}circle{fill:#2468a0;opacity:.5}"
    "path,polyline{fill:none;stroke:#2468a0}.axis{stroke:#888}"
    "text{font-size:12px}";

} // namespace

std::string to_html(const run_result& result)
{
    std::ostringstream out;
    const auto title = escape(result->experiment);
    out << "<!doctype html><html lang=en><meta charset=utf-8><title>" << title
        << "</title><style>" << style << "</style><h1>" << title
        << "</h1><p>Seed " << result->seed << ".</p><table>";
    for (const auto& it : result->figures)
        out << "<tr><td>" << escape(it.name) << "<td>" << it.value << "<td>"
            << escape(it.unit);
    out << "</table><ul>";
    for (const auto& it : result->notes)
        out << "<li>" << escape(it);
    out << "</ul>";
    add_dots(out, result->slowdowns);
    add_curve(out, result->running);
    out << "</html>\n";
    return out.str();
}

} // namespace lagoonquay::load
