#include "lagoonquay/request/job_codec.hpp"

#include "lagoonquay/request/json_fields.hpp"
#include "task_json.hpp"

#include <algorithm>
#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t most_attempts = 100;
constexpr std::uint64_t most_priority =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t most_stretch_milli = 1'000'000;
constexpr double thousandths = 1000;

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
    const auto* source = fields.array(key);
    if (source == nullptr)
        return results;
    results.reserve(source->size());
    for (const auto& it : *source)
        results.push_back(result_from_json(it, std::string(key), fields));
    return results;
}

//! Reads everything but the tasks.
job_options read_job(json_fields& fields, const job_limits& limits)
{
    job_options options;
    options.submission =
        submission_id(fields.id("submission", limits.id_bytes));
    options.customer = customer_id(fields.id("customer", limits.id_bytes));
    options.service =
        service_id(fields.text_or("service", "", max_service_bytes));
    options.created = wall_time(std::chrono::milliseconds(
        fields.number("created_ms", 0, json_exact_limit)));
    options.time_limit = std::chrono::milliseconds(fields.number_or(
        "time_limit_ms", milliseconds_of(limits.default_time_limit), 1,
        milliseconds_of(limits.longest_time_limit)));
    options.aim.stretch = static_cast<double>(fields.number_or(
                              "stretch_milli", 0, 0, most_stretch_milli)) /
                          thousandths;
    options.aim.target = std::chrono::milliseconds(fields.number_or(
        "target_ms", 0, 0, milliseconds_of(limits.longest_time_limit)));
    options.idempotent = fields.flag_or("idempotent", false);
    options.dated = fields.flag_or("dated", true);
    options.priority = static_cast<std::uint32_t>(
        fields.number_or("priority", 0, 0, most_priority));
    options.attempts = static_cast<std::uint32_t>(
        fields.number_or("attempts", 1, 1, most_attempts));
    return options;
}

} // namespace

request_result<job> decode_job(std::string_view text, const job_limits& limits)
{
    BOOST_OUTCOME_TRY(const auto document, parse_outside_json(text));
    json_fields fields(document, "");
    fields.only({"submission", "customer", "service", "created_ms",
                 "time_limit_ms", "idempotent", "dated", "attempts", "priority",
                 "stretch_milli", "target_ms", "tasks"});
    auto options = read_job(fields, limits);
    options.tasks = read_tasks(fields, limits);
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return job(std::move(options));
}

request_result<job> decode_single_request(std::string_view text,
                                          const job_limits& limits)
{
    BOOST_OUTCOME_TRY(const auto document, parse_outside_json(text));
    json_fields fields(document, "");
    fields.only({"submission", "customer", "service", "created_ms",
                 "time_limit_ms", "idempotent", "dated", "attempts", "priority",
                 "stretch_milli", "target_ms", "kind", "payload", "need",
                 "declared_run_ms"});
    auto options = read_job(fields, limits);
    options.tasks.push_back(read_task(fields, limits));
    if (fields.member("idempotent") == nullptr)
        fields.reject(request_errc::malformed, "'idempotent' is missing");
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return job(std::move(options));
}

std::string encode_job(const job& submitted)
{
    json::array tasks;
    for (const auto& it : submitted->tasks)
        tasks.push_back(task_to_json(it));
    json::object document{
        {"submission", submitted->submission.text()},
        {"customer", submitted->customer.text()},
        {"created_ms", submitted->created.time_since_epoch().count()},
        {"time_limit_ms", milliseconds_of(submitted->time_limit)},
        {"stretch_milli",
         static_cast<std::uint64_t>(submitted->aim.stretch * thousandths)},
        {"target_ms", milliseconds_of(submitted->aim.target)},
        {"idempotent", submitted->idempotent},
        {"dated", submitted->dated},
        {"attempts", submitted->attempts},
        {"tasks", std::move(tasks)}};
    if (!submitted->service.empty())
        document["service"] = submitted->service.text();
    if (submitted->priority != 0)
        document["priority"] = submitted->priority;
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
    if (options.reason != failure_reason::none)
        options.detail = fields.text("detail", detail_bytes);
    const auto status = fields.text("status", limits.id_bytes);
    const bool complete = options.reason == failure_reason::none;
    if (status != (complete ? "complete" : "failed"))
        fields.reject(request_errc::malformed,
                      "'status' and 'reason' contradict each other");
    if (complete)
        options.results = read_results(fields, "results");
    else
        options.failures = read_results(fields, "failures");
    if (fields.member(complete ? "failures" : "results") != nullptr)
        fields.reject(request_errc::malformed,
                      "an answer has results or failures");
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return job_answer(std::move(options));
}

} // namespace lagoonquay
