#include "lagoonquay/request/job_codec.hpp"

#include "lagoonquay/request/json_fields.hpp"
#include "task_json.hpp"

#include <algorithm>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

std::uint64_t milliseconds_of(duration span)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::vector<task> read_tasks(json_fields& fields, const job_limits& limits)
{
    const auto* source = fields.array("tasks");
    if (source == nullptr)
        return {};
    if (source->empty() || source->size() > limits.tasks)
    {
        fields.reject(request_errc::out_of_range,
                      "'tasks' must hold from 1 to " +
                          std::to_string(limits.tasks) + " tasks");
        return {};
    }
    std::vector<task> tasks;
    tasks.reserve(source->size());
    for (const auto& it : *source)
    {
        const auto where = "tasks[" + std::to_string(tasks.size()) + "]";
        tasks.push_back(task_from_json(it, where, limits, fields));
    }
    return tasks;
}

std::vector<task_result> read_results(json_fields& fields, std::string_view key)
{
    std::vector<task_result> results;
    if (fields.member(key) == nullptr)
        return results;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return results;
    results.reserve(source->size());
    for (const auto& it : *source)
        results.push_back(result_from_json(it, std::string(key), fields));
    return results;
}

void require_id(json_fields& fields, std::string_view key, bool empty)
{
    if (!empty)
        return;
    fields.reject(request_errc::out_of_range,
                  "'" + std::string(key) + "' must not be empty");
}

} // namespace

request_result<job> decode_job(std::string_view text, const job_limits& limits)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    fields.only({"submission", "customer", "created_ms", "time_limit_ms",
                 "idempotent", "tasks"});
    job_options options;
    options.submission =
        submission_id(fields.text("submission", limits.id_bytes));
    options.customer = customer_id(fields.text("customer", limits.id_bytes));
    options.created = wall_time(std::chrono::milliseconds(
        fields.number("created_ms", 0, json_exact_limit)));
    options.time_limit = std::chrono::milliseconds(fields.number_or(
        "time_limit_ms", milliseconds_of(limits.default_time_limit), 1,
        milliseconds_of(limits.longest_time_limit)));
    options.idempotent = fields.flag_or("idempotent", false);
    options.tasks = read_tasks(fields, limits);
    require_id(fields, "submission", options.submission.empty());
    require_id(fields, "customer", options.customer.empty());
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return job(std::move(options));
}

std::string encode_job(const job& submitted)
{
    json::array tasks;
    for (const auto& it : submitted->tasks)
        tasks.push_back(task_to_json(it));
    const json::object document{
        {"submission", submitted->submission.text()},
        {"customer", submitted->customer.text()},
        {"created_ms", submitted->created.time_since_epoch().count()},
        {"time_limit_ms", milliseconds_of(submitted->time_limit)},
        {"idempotent", submitted->idempotent},
        {"tasks", std::move(tasks)}};
    return json::serialize(document);
}

std::string encode_answer(const job_answer& answer)
{
    json::object document{{"submission", answer->submission.text()},
                          {"status", succeeded(answer) ? "complete" : "failed"},
                          {"ran", to_text(answer->ran)}};
    if (!succeeded(answer))
    {
        json::array failures;
        for (const auto& it : answer->failures)
            failures.push_back(result_to_json(it));
        document["reason"] = to_text(answer->reason);
        document["detail"] = answer->detail;
        document["failures"] = std::move(failures);
        return json::serialize(document);
    }
    json::array results;
    for (const auto& it : answer->results)
        results.push_back(result_to_json(it));
    document["results"] = std::move(results);
    return json::serialize(document);
}

request_result<job_answer> decode_answer(std::string_view text)
{
    constexpr std::size_t detail_bytes = 4096;
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    const job_limits limits;
    job_answer_options options;
    options.submission =
        submission_id(fields.text("submission", limits.id_bytes));
    options.ran = effect_from_json(fields, "ran");
    options.reason = reason_from_json(fields, "reason");
    options.detail = fields.text_or("detail", "", detail_bytes);
    options.results = read_results(fields, "results");
    options.failures = read_results(fields, "failures");
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return job_answer(std::move(options));
}

} // namespace lagoonquay
