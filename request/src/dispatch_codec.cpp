#include "lagoonquay/request/dispatch_codec.hpp"

#include "lagoonquay/request/json_fields.hpp"
#include "task_json.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t count_limit = std::numeric_limits<std::uint32_t>::max();

constexpr std::array<std::string_view, 3> state_names{"not_started", "running",
                                                      "finished"};

std::string wide(std::uint64_t number)
{
    return std::to_string(number);
}

void put_key(json::object& object, const submission_id& submission,
             const attempt_key& key)
{
    object["submission"] = submission.text();
    object["index"] = key.index.number();
    object["attempt"] = key.attempt.number();
    object["agent"] = key.agent.text();
    object["agent_run"] = wide(key.agent_run.number());
}

submission_id get_submission(json_fields& fields, const job_limits& limits)
{
    return submission_id(fields.id("submission", limits.id_bytes));
}

attempt_key get_key(json_fields& fields, const job_limits& limits)
{
    attempt_key key;
    key.index = task_index(fields.number("index", 0, count_limit));
    key.attempt = attempt_number(fields.number("attempt", 1, json_exact_limit));
    key.agent = agent_id(fields.text("agent", limits.id_bytes));
    key.agent_run = incarnation(fields.wide_number("agent_run"));
    return key;
}

service_id get_service(json_fields& fields)
{
    return service_id(fields.text_or("service", "", max_service_bytes));
}

instant get_instant(json_fields& fields, std::string_view key)
{
    return instant(duration(fields.number(key, 0, json_exact_limit)));
}

json::object to_json(const hello_message& it)
{
    return {{"type", "hello"},
            {"entry", it.entry.text()},
            {"entry_run", wide(it.entry_run.number())}};
}

json::object to_json(const waiting_work& it)
{
    return {{"priority", it.priority},
            {"tasks", it.tasks},
            {"work_us", it.work.count()},
            {"age_us", it.age.count()}};
}

// Members that a process of an earlier version does not know are left out
// where they say nothing; that process ignores them.
json::object to_json(const grant_message& it)
{
    json::object object{
        {"type", "grant"},
        {"agent", it.agent.text()},
        {"agent_run", wide(it.agent_run.number())},
        {"agent_time_us", it.agent_time.time_since_epoch().count()},
        {"credits_total", it.credits_total},
        {"slots", it.slots},
        {"capacity", resources_to_json(it.capacity)},
        {"used", resources_to_json(it.used)},
        {"accepting", it.accepting},
        {"draining", it.draining},
        {"stray_runs", it.stray_runs},
        {"dispatches_total", it.dispatches_total},
        {"service", it.service.text()}};
    if (it.speed_milli != 0)
        object["speed_milli"] = it.speed_milli;
    if (it.late_run_time != duration::zero())
        object["late_run_time_us"] = it.late_run_time.count();
    if (it.drained)
        object["drained"] = true;
    if (it.waiting.empty())
        return object;
    json::array waiting;
    for (const auto& each : it.waiting)
        waiting.push_back(to_json(each));
    object["waiting"] = std::move(waiting);
    return object;
}

json::object to_json(const return_message& it)
{
    return {{"type", "return"}, {"returned_total", it.returned_total}};
}

json::object to_json(const dispatch_message& it)
{
    json::object object{
        {"type", "dispatch"},
        {"start_before_us", it.start_before.time_since_epoch().count()},
        {"run_limit_us", it.run_limit.count()},
        {"repeatable", it.repeatable},
        {"service", it.service.text()},
        {"task", task_to_json(it.work)}};
    if (it.priority != 0)
        object["priority"] = it.priority;
    if (it.start_by != instant())
        object["start_by_us"] = it.start_by.time_since_epoch().count();
    if (it.expected_run != duration::zero())
        object["expected_run_us"] = it.expected_run.count();
    put_key(object, it.submission, it.key);
    return object;
}

json::object to_json(const result_message& it)
{
    json::object object{{"type", "result"},
                        {"result", result_to_json(it.result)},
                        {"credits_total", it.credits_total},
                        {"busy", it.busy},
                        {"used", resources_to_json(it.used)},
                        {"ran_for_us", it.ran_for.count()},
                        {"dispatches_total", it.dispatches_total}};
    put_key(object, it.submission, it.key);
    return object;
}

json::object to_json(const cancel_message& it)
{
    json::object object{{"type", "cancel"}, {"given_up", it.given_up}};
    put_key(object, it.submission, it.key);
    return object;
}

json::object to_json(const query_message& it)
{
    json::array items;
    for (const auto& item : it.items)
        items.push_back(json::object{{"index", item.index.number()},
                                     {"last", item.last.number()}});
    return {{"type", "query"},
            {"submission", it.submission.text()},
            {"agent_run", wide(it.agent_run.number())},
            {"items", std::move(items)}};
}

json::object to_json(const status_item& it)
{
    const auto state = static_cast<std::size_t>(it.state);
    json::object object{{"index", it.index.number()},
                        {"attempt", it.attempt.number()},
                        {"forbidden", it.forbidden.number()},
                        {"state", state_names.at(state)}};
    if (it.state == start_state::finished)
        object["result"] = result_to_json(it.result);
    return object;
}

json::object to_json(const status_message& it)
{
    json::array items;
    for (const auto& item : it.items)
        items.push_back(to_json(item));
    json::object object{{"type", "status"},
                        {"submission", it.submission.text()},
                        {"agent", it.agent.text()},
                        {"agent_run", wide(it.agent_run.number())},
                        {"items", std::move(items)}};
    if (it.late_run_time != duration::zero())
        object["late_run_time_us"] = it.late_run_time.count();
    if (!it.begun)
        return object;
    json::array begun;
    for (const auto& each : *it.begun)
        begun.push_back(json::object{{"index", each.index.number()},
                                     {"attempt", each.attempt.number()}});
    object["begun"] = std::move(begun);
    return object;
}

link_message read_hello(json_fields& fields, const job_limits& limits)
{
    return hello_message{entry_id(fields.text("entry", limits.id_bytes)),
                         incarnation(fields.wide_number("entry_run"))};
}

std::uint32_t get_count_or_zero(json_fields& fields, std::string_view key)
{
    return static_cast<std::uint32_t>(fields.number_or(key, 0, 0, count_limit));
}

duration get_duration_or_zero(json_fields& fields, std::string_view key)
{
    return duration(fields.number_or(key, 0, 0, json_exact_limit));
}

waiting_work read_waiting_work(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "waiting");
    const waiting_work it{get_count_or_zero(fields, "priority"),
                          get_count_or_zero(fields, "tasks"),
                          get_duration_or_zero(fields, "work_us"),
                          get_duration_or_zero(fields, "age_us")};
    parent.absorb(fields);
    return it;
}

std::vector<waiting_work> read_waiting(json_fields& fields)
{
    std::vector<waiting_work> all;
    if (fields.member("waiting") == nullptr)
        return all;
    const auto* source = fields.array("waiting");
    if (source == nullptr)
        return all;
    if (source->size() > max_waiting_priorities)
    {
        fields.reject(request_errc::malformed, "'waiting' is too long");
        return all;
    }
    for (const auto& it : *source)
        all.push_back(read_waiting_work(it, fields));
    return all;
}

link_message read_grant(json_fields& fields, const job_limits& limits)
{
    grant_message it;
    it.agent = agent_id(fields.text("agent", limits.id_bytes));
    it.agent_run = incarnation(fields.wide_number("agent_run"));
    it.agent_time = get_instant(fields, "agent_time_us");
    it.credits_total = fields.number("credits_total", 0, json_exact_limit);
    it.slots =
        static_cast<std::uint32_t>(fields.number("slots", 0, count_limit));
    it.capacity = resources_from_json(fields, "capacity");
    it.used = resources_from_json(fields, "used");
    it.accepting = fields.flag_or("accepting", false);
    it.draining = fields.flag_or("draining", false);
    it.stray_runs =
        static_cast<std::uint32_t>(fields.number("stray_runs", 0, count_limit));
    it.dispatches_total =
        fields.number("dispatches_total", 0, json_exact_limit);
    it.service = get_service(fields);
    it.speed_milli = get_count_or_zero(fields, "speed_milli");
    it.waiting = read_waiting(fields);
    it.late_run_time = get_duration_or_zero(fields, "late_run_time_us");
    it.drained = fields.flag_or("drained", false);
    return it;
}

link_message read_return(json_fields& fields)
{
    return return_message{fields.number("returned_total", 0, json_exact_limit)};
}

link_message read_dispatch(json_fields& fields, const job_limits& limits)
{
    dispatch_message it;
    it.submission = get_submission(fields, limits);
    it.key = get_key(fields, limits);
    it.start_before = get_instant(fields, "start_before_us");
    it.run_limit = duration(fields.number("run_limit_us", 0, json_exact_limit));
    it.repeatable = fields.flag_or("repeatable", false);
    it.service = get_service(fields);
    it.priority = get_count_or_zero(fields, "priority");
    it.start_by = instant(get_duration_or_zero(fields, "start_by_us"));
    it.expected_run = get_duration_or_zero(fields, "expected_run_us");
    const auto* work = fields.member("task");
    if (work == nullptr)
    {
        fields.reject(request_errc::malformed, "'task' is missing");
        return it;
    }
    it.work = task_from_json(*work, "task", limits, fields);
    return it;
}

link_message read_result(json_fields& fields, const job_limits& limits)
{
    result_message it;
    it.submission = get_submission(fields, limits);
    it.key = get_key(fields, limits);
    it.credits_total = fields.number("credits_total", 0, json_exact_limit);
    it.busy = static_cast<std::uint32_t>(fields.number("busy", 0, count_limit));
    it.used = resources_from_json(fields, "used");
    it.ran_for = duration(fields.number("ran_for_us", 0, json_exact_limit));
    it.dispatches_total =
        fields.number("dispatches_total", 0, json_exact_limit);
    const auto* result = fields.member("result");
    if (result == nullptr)
    {
        fields.reject(request_errc::malformed, "'result' is missing");
        return it;
    }
    it.result = result_from_json(*result, "result", fields);
    return it;
}

link_message read_cancel(json_fields& fields, const job_limits& limits)
{
    cancel_message it;
    it.submission = get_submission(fields, limits);
    it.key = get_key(fields, limits);
    it.given_up = fields.flag_or("given_up", false);
    return it;
}

query_item read_query_item(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "items");
    const query_item item{
        task_index(fields.number("index", 0, count_limit)),
        attempt_number(fields.number("last", 0, json_exact_limit))};
    parent.absorb(fields);
    return item;
}

start_state get_state(json_fields& fields, const job_limits& limits)
{
    const auto name = fields.text("state", limits.id_bytes);
    const auto* const it =
        std::find(state_names.begin(), state_names.end(), name);
    if (it == state_names.end())
    {
        fields.reject(request_errc::malformed, "unknown state '" + name + "'");
        return start_state::running;
    }
    return static_cast<start_state>(it - state_names.begin());
}

status_item read_status_item(const json::value& source,
                             const job_limits& limits, json_fields& parent)
{
    json_fields fields(source, "items");
    status_item item;
    item.index = task_index(fields.number("index", 0, count_limit));
    item.attempt =
        attempt_number(fields.number("attempt", 0, json_exact_limit));
    item.forbidden =
        attempt_number(fields.number("forbidden", 0, json_exact_limit));
    item.state = get_state(fields, limits);
    const auto* result = fields.member("result");
    if (result != nullptr)
        item.result = result_from_json(*result, "result", fields);
    else if (item.state == start_state::finished)
        fields.reject(request_errc::malformed, "'result' is missing");
    parent.absorb(fields);
    return item;
}

link_message read_query(json_fields& fields, const job_limits& limits)
{
    query_message it;
    it.submission = get_submission(fields, limits);
    it.agent_run = incarnation(fields.wide_number("agent_run"));
    const auto* items = fields.array("items");
    if (items == nullptr)
        return it;
    for (const auto& item : *items)
        it.items.push_back(read_query_item(item, fields));
    return it;
}

std::optional<std::vector<begun_attempt>> read_begun(json_fields& fields)
{
    if (fields.member("begun") == nullptr)
        return std::nullopt;
    std::vector<begun_attempt> all;
    const auto* source = fields.array("begun");
    if (source == nullptr)
        return all;
    for (const auto& each : *source)
    {
        json_fields item(each, "begun");
        all.push_back(
            {task_index(item.number("index", 0, count_limit)),
             attempt_number(item.number("attempt", 1, json_exact_limit))});
        fields.absorb(item);
    }
    return all;
}

link_message read_status(json_fields& fields, const job_limits& limits)
{
    status_message it;
    it.submission = get_submission(fields, limits);
    it.agent = agent_id(fields.text("agent", limits.id_bytes));
    it.agent_run = incarnation(fields.wide_number("agent_run"));
    it.begun = read_begun(fields);
    it.late_run_time = get_duration_or_zero(fields, "late_run_time_us");
    const auto* items = fields.array("items");
    if (items == nullptr)
        return it;
    for (const auto& item : *items)
        it.items.push_back(read_status_item(item, limits, fields));
    return it;
}

request_result<link_message> read_message(const json::value& source)
{
    const job_limits limits;
    json_fields fields(source, "message");
    const auto type = fields.text("type", limits.id_bytes);
    link_message message;
    if (type == "hello")
        message = read_hello(fields, limits);
    else if (type == "grant")
        message = read_grant(fields, limits);
    else if (type == "return")
        message = read_return(fields);
    else if (type == "dispatch")
        message = read_dispatch(fields, limits);
    else if (type == "result")
        message = read_result(fields, limits);
    else if (type == "cancel")
        message = read_cancel(fields, limits);
    else if (type == "query")
        message = read_query(fields, limits);
    else if (type == "status")
        message = read_status(fields, limits);
    else
        fields.reject(request_errc::unknown_message,
                      "unknown type '" + type + "'");
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return message;
}

} // namespace

std::string encode_frame(const std::vector<link_message>& messages)
{
    json::array frame;
    frame.reserve(messages.size());
    for (const auto& it : messages)
    {
        frame.push_back(std::visit(
            [](const auto& message) { return to_json(message); }, it));
    }
    return json::serialize(frame);
}

request_result<std::vector<link_message>> decode_frame(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    const auto* frame = document.if_array();
    if (frame == nullptr)
        return fail(request_errc::malformed, "a frame must be an array");
    std::vector<link_message> messages;
    messages.reserve(frame->size());
    for (const auto& it : *frame)
    {
        BOOST_OUTCOME_TRY(auto message, read_message(it));
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace lagoonquay
