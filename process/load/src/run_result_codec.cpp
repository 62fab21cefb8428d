#include "lagoonquay/load/run_result.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay::load
{

namespace
{

constexpr std::size_t name_bytes = 128;

json::array points_to_json(const std::vector<point>& points)
{
    json::array array;
    for (const auto& it : points)
        array.push_back(json::object{{"x", it.x}, {"y", it.y}});
    return array;
}

double number_of(const json::value& source, std::string_view key)
{
    const auto* object = source.if_object();
    const auto* found = object == nullptr ? nullptr : object->if_contains(key);
    if (found == nullptr || !found->is_number())
        return 0;
    return found->to_number<double>();
}

std::vector<point> points_from_json(json_fields& fields, std::string_view key)
{
    std::vector<point> points;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return points;
    for (const auto& it : *source)
        points.push_back({number_of(it, "x"), number_of(it, "y")});
    return points;
}

std::vector<std::string> texts_from_json(json_fields& fields,
                                         std::string_view key)
{
    std::vector<std::string> texts;
    if (fields.member(key) == nullptr)
        return texts;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return texts;
    for (const auto& it : *source)
    {
        const auto* text = it.if_string();
        if (text != nullptr)
            texts.emplace_back(text->data(), text->size());
    }
    return texts;
}

} // namespace

std::string encode_result(const run_result& result)
{
    json::array figures;
    for (const auto& it : result->figures)
        figures.push_back(json::object{
            {"name", it.name}, {"value", it.value}, {"unit", it.unit}});
    json::array notes;
    for (const auto& it : result->notes)
        notes.push_back(json::value(it));
    const json::object document{
        {"experiment", result->experiment},
        {"seed", result->seed},
        {"figures", std::move(figures)},
        {"slowdowns", points_to_json(result->slowdowns)},
        {"running", points_to_json(result->running)},
        {"notes", std::move(notes)}};
    return json::serialize(document);
}

process_result<run_result> decode_result(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document)
        return fail(process_errc::bad_settings, document.error().detail);
    json_fields fields(document.value(), "");
    run_result_options options;
    options.experiment = fields.text("experiment", name_bytes);
    options.seed = fields.number("seed", 0, json_exact_limit);
    if (const auto* source = fields.array("figures"))
    {
        for (const auto& it : *source)
        {
            json_fields one(it, "figure");
            options.figures.push_back({one.text("name", name_bytes),
                                       number_of(it, "value"),
                                       one.text("unit", name_bytes)});
            fields.absorb(one);
        }
    }
    options.slowdowns = points_from_json(fields, "slowdowns");
    options.running = points_from_json(fields, "running");
    options.notes = texts_from_json(fields, "notes");
    if (fields.failed())
        return fail(process_errc::bad_settings, fields.error().detail);
    return run_result(std::move(options));
}

} // namespace lagoonquay::load
