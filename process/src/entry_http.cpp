#include "lagoonquay/process/entry_http.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view jobs_path = "/v1/jobs";

http_response not_found()
{
    return error_response(http_status::not_found, "not_found",
                          "no such path or job");
}

http_status status_of(const job_answer& answer)
{
    if (succeeded(answer))
        return http_status::ok;
    switch (answer->reason)
    {
    case failure_reason::content_mismatch:
        return http_status::conflict;
    case failure_reason::expired:
        return http_status::gone;
    case failure_reason::impossible_need:
        return http_status::unprocessable;
    case failure_reason::overloaded:
    case failure_reason::quota:
        return http_status::too_many_requests;
    case failure_reason::draining:
    case failure_reason::no_permit:
    case failure_reason::ledger_unavailable:
    case failure_reason::fenced:
        return http_status::unavailable;
    case failure_reason::deadline:
        return http_status::gateway_timeout;
    default:
        return http_status::bad_gateway;
    }
}

http_response answer_response(const job_answer& answer)
{
    return {.status = status_of(answer), .body = encode_answer(answer)};
}

void submit_job(entry_service& service, const job_limits& limits,
                const http_request& request, const http_responder& respond)
{
    auto decoded = decode_job(request.body, limits);
    if (!decoded)
        return respond(error_response(http_status::bad_request, "malformed",
                                      decoded.error().detail));
    const auto submitted = std::move(decoded).value();
    if (query_value(request.query, "wait") == "false")
    {
        service.submit(submitted, [](const job_answer&) {});
        return respond({.status = http_status::accepted, .body = "{}"});
    }
    service.submit(submitted, [respond](const job_answer& answer)
                   { respond(answer_response(answer)); });
}

http_response show_progress(entry_service& service, const submission_id& id)
{
    const auto found = service.progress(id);
    if (!found)
        return not_found();
    if (found->answer)
        return answer_response(*found->answer);
    const json::object body{{"submission", id.text()},
                            {"status", "running"},
                            {"tasks", found->tasks},
                            {"finished", found->finished}};
    return {.status = http_status::accepted, .body = json::serialize(body)};
}

http_response cancel_job(entry_service& service, const submission_id& id)
{
    if (!service.cancel(id))
        return not_found();
    return {.status = http_status::accepted, .body = "{}"};
}

std::optional<submission_id> job_of(const std::string& path)
{
    const auto prefix = std::string(jobs_path) + "/";
    if (!path.starts_with(prefix) || path.size() == prefix.size())
        return std::nullopt;
    return submission_id(path.substr(prefix.size()));
}

http_response claim_response(ledger_replica& ledger, const std::string& body)
{
    const auto asked = decode_claim_request(body);
    if (!asked)
        return error_response(http_status::bad_request, "malformed",
                              asked.error().detail);
    return {.body = encode_claim_vote(ledger.claim(asked.value()))};
}

job_answer forward_failure(const job& work, const std::string& detail)
{
    return refusal(work->submission, failure_reason::link_lost, effect::unknown,
                   "the holding entry: " + detail);
}

} // namespace

http_handler caller_routes(entry_service& service, const job_limits& limits)
{
    return [&service, limits](const http_request& request,
                              const http_responder& respond)
    {
        if (request.path == "/readyz")
        {
            const bool ready = service.ready();
            return respond(
                {.status = ready ? http_status::ok : http_status::unavailable,
                 .body = ready ? R"({"ready":true})" : R"({"ready":false})"});
        }
        if (request.path == jobs_path && request.method == http_method::post)
            return submit_job(service, limits, request, respond);
        const auto id = job_of(request.path);
        if (id && request.method == http_method::get)
            return respond(show_progress(service, *id));
        if (id && request.method == http_method::remove)
            return respond(cancel_job(service, *id));
        respond(not_found());
    };
}

http_handler peer_routes(entry_service& service, ledger_replica& ledger,
                         const job_limits& limits)
{
    return [&service, &ledger, limits](const http_request& request,
                                       const http_responder& respond)
    {
        if (request.path == "/v1/ledger/claim")
            return respond(claim_response(ledger, request.body));
        if (request.path == jobs_path)
            return submit_job(service, limits, request, respond);
        respond(not_found());
    };
}

http_handler entry_operator_routes(entry_service& service)
{
    return
        [&service](const http_request& request, const http_responder& respond)
    {
        if (request.path == "/v1/state")
            return respond({.body = service.dump()});
        respond(not_found());
    };
}

forward_hook forward_over_http(http_client& client)
{
    return
        [&client](const std::string& address, const job& work, answer_hook done)
    {
        const auto target = parse_endpoint(address);
        if (!target)
            return done(forward_failure(work, target.error().detail));
        const http_request request{.method = http_method::post,
                                   .path = std::string(jobs_path),
                                   .query = {},
                                   .body = encode_job(work),
                                   .bearer = {}};
        client.send(
            target.value(), request, work->time_limit,
            [work,
             it = std::move(done)](connection_result<http_response> answer)
            {
                if (!answer)
                    return it(forward_failure(work, answer.error().detail));
                auto decoded = decode_answer(answer.value().body);
                if (!decoded)
                    return it(forward_failure(work, decoded.error().detail));
                it(decoded.value());
            });
    };
}

} // namespace lagoonquay
