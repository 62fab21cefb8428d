#include "lagoonquay/connection/upstream.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/request/json_fields.hpp"
#include "lagoonquay/request/text.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t slot_limit = 1024;
constexpr std::uint64_t resource_limit = 1ULL << 31U;
constexpr std::size_t address_bytes = 64;
constexpr std::size_t detail_bytes = 512;

std::uint32_t amount(json_fields& fields, std::string_view key)
{
    return static_cast<std::uint32_t>(
        fields.number_or(key, 0, 0, resource_limit));
}

task_result failed_result(task_index index, failure_reason reason, effect ran,
                          std::string detail)
{
    return task_result({.index = index,
                        .reason = reason,
                        .ran = ran,
                        .body = {},
                        .detail = std::move(detail)});
}

// A refused connection proves that nothing ran. A lost one proves nothing. An
// answer that is too large proves that the task ran.
task_result broken_result(task_index index,
                          const layer_error<connection_errc>& error)
{
    if (nothing_sent(error.code))
        return failed_result(index, failure_reason::upstream_unreachable,
                             effect::not_run, error.detail);
    if (error.code == connection_errc::timeout)
        return failed_result(index, failure_reason::deadline, effect::unknown,
                             error.detail);
    const auto ran = error.code == connection_errc::too_large ? effect::ran
                                                              : effect::unknown;
    return failed_result(index, failure_reason::upstream_failed, ran,
                         error.detail);
}

task_result to_result(task_index index, connection_result<http_response> answer)
{
    if (!answer)
        return broken_result(index, answer.error());
    auto response = std::move(answer).value();
    if (response.status != http_status::ok)
        return failed_result(index, failure_reason::upstream_failed,
                             effect::ran,
                             to_valid_utf8(response.body, detail_bytes));
    if (!is_valid_utf8(response.body))
        return failed_result(index, failure_reason::upstream_failed,
                             effect::ran,
                             "the upstream's answer is not valid UTF-8");
    return task_result({.index = index,
                        .reason = failure_reason::none,
                        .ran = effect::ran,
                        .body = std::move(response.body),
                        .detail = {}});
}

std::string call_path(const upstream_call& call)
{
    return "/v1/tasks/" + std::to_string(call.index.number());
}

std::string call_query(const upstream_call& call)
{
    return "submission=" + call.submission.text() +
           "&attempt=" + std::to_string(call.attempt.number()) +
           "&run=" + std::to_string(call.agent_run.number());
}

} // namespace

std::string encode_announcement(const upstream_announcement& it)
{
    const json::object object{
        {"address", to_text(it.address)},
        {"slots", it.slots},
        {"processors_milli", it.capacity.processors_milli},
        {"memory_mb", it.capacity.memory_mb},
        {"accelerators", it.capacity.accelerators},
        {"leaving", it.leaving},
        {"running", it.running},
        {"agent_run", std::to_string(it.agent_run.number())},
        {"running_of_run", it.running_of_run},
        {"service", it.service.text()}};
    return json::serialize(object);
}

request_result<upstream_announcement> decode_announcement(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_outside_json(text));
    json_fields fields(document, "");
    fields.only({"address", "slots", "processors_milli", "memory_mb",
                 "accelerators", "leaving", "running", "agent_run",
                 "running_of_run", "service"});
    const auto address = parse_endpoint(fields.text("address", address_bytes));
    if (!address)
        fields.reject(request_errc::malformed, address.error().detail);
    upstream_announcement it;
    it.slots =
        static_cast<std::uint32_t>(fields.number("slots", 1, slot_limit));
    it.capacity = {amount(fields, "processors_milli"),
                   amount(fields, "memory_mb"), amount(fields, "accelerators")};
    it.leaving = fields.flag_or("leaving", false);
    it.running = amount(fields, "running");
    it.running_of_run = amount(fields, "running_of_run");
    it.service = service_id(fields.text_or("service", "", max_service_bytes));
    if (fields.member("agent_run") != nullptr)
        it.agent_run = incarnation(fields.wide_number("agent_run"));
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    it.address = address.value();
    return it;
}

// Before the first call of a run, all that runs belongs to earlier runs.
std::uint32_t running_of_others(const upstream_announcement& it,
                                incarnation agent_run) noexcept
{
    if (it.agent_run != agent_run)
        return it.running;
    return it.running - std::min(it.running, it.running_of_run);
}

upstream_hook call_over_http(http_client& client)
{
    return [&client](const upstream_call& call, upstream_callback done)
    {
        http_request request;
        request.method = http_method::post;
        request.path = call_path(call);
        request.query = call_query(call);
        request.body = call.payload;
        client.send(call.address, request, call.run_limit,
                    [index = call.index, it = std::move(done)](
                        connection_result<http_response> answer)
                    { it(to_result(index, std::move(answer))); });
    };
}

} // namespace lagoonquay
