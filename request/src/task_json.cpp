#include "task_json.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <array>
#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t resource_limit =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t run_limit_ms = 24ULL * 3600 * 1000;
constexpr std::size_t name_bytes = 64;
constexpr std::size_t body_limit_bytes = 16ULL * 1024 * 1024;

template <typename Enum>
Enum named_value(std::string_view name, Enum last, json_fields& fields)
{
    for (int n = 0; n <= static_cast<int>(last); ++n)
    {
        if (to_text(static_cast<Enum>(n)) == name)
            return static_cast<Enum>(n);
    }
    fields.reject(request_errc::malformed,
                  "unknown name '" + std::string(name) + "'");
    return Enum{};
}

std::uint32_t amount(json_fields& fields, std::string_view key)
{
    return static_cast<std::uint32_t>(
        fields.number_or(key, 0, 0, resource_limit));
}

std::uint64_t milliseconds_of(duration span)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

json::object resources_to_json(const resources& amounts)
{
    return {{"processors_milli", amounts.processors_milli},
            {"memory_mb", amounts.memory_mb},
            {"accelerators", amounts.accelerators}};
}

resources resources_from_json(json_fields& parent, std::string_view key)
{
    const auto* source = parent.member(key);
    if (source == nullptr)
        return {};
    json_fields fields(*source, std::string(key));
    fields.only({"processors_milli", "memory_mb", "accelerators"});
    const resources amounts{amount(fields, "processors_milli"),
                            amount(fields, "memory_mb"),
                            amount(fields, "accelerators")};
    parent.absorb(fields);
    return amounts;
}

json::object task_to_json(const task& work)
{
    return {{"kind", work->kind},
            {"payload", work->payload},
            {"need", resources_to_json(work->need)},
            {"declared_run_ms", milliseconds_of(work->declared_run)}};
}

task task_from_json(const json::value& source, const std::string& where,
                    const job_limits& limits, json_fields& parent)
{
    json_fields fields(source, where);
    fields.only({"kind", "payload", "need", "declared_run_ms"});
    auto work = read_task(fields, limits);
    parent.absorb(fields);
    return work;
}

task read_task(json_fields& fields, const job_limits& limits)
{
    task_options options;
    options.kind = fields.text("kind", limits.id_bytes);
    options.payload = fields.text_or("payload", "", limits.payload_bytes);
    options.need = resources_from_json(fields, "need");
    options.declared_run = std::chrono::milliseconds(
        fields.number_or("declared_run_ms", 0, 0, run_limit_ms));
    return task(std::move(options));
}

effect effect_from_json(json_fields& fields, std::string_view key)
{
    return named_value(fields.text(key, name_bytes), effect::ran, fields);
}

failure_reason reason_from_json(json_fields& fields, std::string_view key)
{
    return named_value(fields.text_or(key, "none", name_bytes),
                       failure_reason::already_failed, fields);
}

json::object result_to_json(const task_result& result)
{
    json::object object{{"index", result->index.number()},
                        {"ran", to_text(result->ran)}};
    if (succeeded(result))
    {
        object["body"] = result->body;
        return object;
    }
    object["reason"] = to_text(result->reason);
    object["detail"] = result->detail;
    return object;
}

task_result result_from_json(const json::value& source,
                             const std::string& where, json_fields& parent)
{
    json_fields fields(source, where);
    constexpr std::size_t detail_bytes = 4096;
    task_result_options options;
    options.index = task_index(fields.number("index", 0, json_exact_limit));
    options.ran = effect_from_json(fields, "ran");
    options.reason = reason_from_json(fields, "reason");
    const bool success = options.reason == failure_reason::none;
    if (success)
        options.body = fields.text("body", body_limit_bytes);
    else
        options.detail = fields.text("detail", detail_bytes);
    if (fields.member(success ? "detail" : "body") != nullptr)
        fields.reject(request_errc::malformed,
                      "a result has a body or a reason with its detail");
    parent.absorb(fields);
    return task_result(std::move(options));
}

} // namespace lagoonquay
