#include "lagoonquay/process/entry_http.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/entry_peers.hpp"
#include "lagoonquay/process/held_claims_http.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_records_http.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/load_report.hpp"
#include "lagoonquay/process/operator_http.hpp"
#include "lagoonquay/request/text.hpp"

#include <atomic>
#include <boost/json.hpp>
#include <iterator>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "caller";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::uint32_t retry_after_s = 1;
constexpr duration cancel_timeout = std::chrono::seconds(1);

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

//! @return whether the same request may succeed soon.
bool is_retryable(http_status status) noexcept
{
    return status == http_status::too_many_requests ||
           status == http_status::unavailable;
}

http_response answer_response(const job_answer& answer)
{
    http_response response{.status = status_of(answer),
                           .body = encode_answer(answer)};
    if (is_retryable(response.status))
        response.retry_after_s = retry_after_s;
    return response;
}

//! Sends the first of several responses and discards the others. Thread-safe.
class first_response
{
public:
    explicit first_response(http_responder respond)
        : respond_(std::move(respond))
    {
    }

    void send(http_response response)
    {
        if (!sent_.exchange(true))
            respond_(std::move(response));
    }

private:
    http_responder respond_;
    std::atomic<bool> sent_{false};
};

http_response accepted_response(const submission_id& id)
{
    const json::object body{{"submission", id.text()}, {"status", "running"}};
    return {.status = http_status::accepted, .body = json::serialize(body)};
}

// The service calls back at once when it refuses a submission. The caller then
// gets the refusal instead of the 202, even though it does not wait.
void submit_and_poll(entry_service& service, const job& submitted,
                     const http_responder& respond)
{
    const auto first = std::make_shared<first_response>(respond);
    service.submit(submitted, [first](const job_answer& answer)
                   { first->send(answer_response(answer)); });
    first->send(accepted_response(submitted->submission));
}

using job_decoder = request_result<job> (*)(std::string_view,
                                            const job_limits&);

// A submission that can't be decoded is reported as not run: none of its tasks
// was dispatched.
http_response malformed_response(const layer_error<request_errc>& error)
{
    const json::object body{{"error", "malformed"},
                            {"detail", error.detail},
                            {"ran", to_text(effect::not_run)}};
    return {.status = http_status::bad_request, .body = json::serialize(body)};
}

//! Decodes and submits a job, or a single request as a job of one task.
route_handler submit_route(entry_service& service, const job_limits& limits,
                           job_decoder decode, latency_statistics* answers)
{
    return [&service, limits, decode, answers](const http_request& request,
                                               std::string_view,
                                               const http_responder& respond)
    {
        auto decoded = decode(request.body, limits);
        if (!decoded)
        {
            log_refused_request(part,
                                {.reason = "malformed",
                                 .detail = decoded.error().detail,
                                 .queues = service.view()->catalog->revision,
                                 .view_age = service.view_age()});
            return respond(malformed_response(decoded.error()));
        }
        const auto submitted = std::move(decoded).value();
        if (query_value(request.query, "wait") == "false")
            return submit_and_poll(service, submitted, respond);
        const auto began = steady_now();
        service.submit(submitted,
                       [respond, began, answers](const job_answer& answer)
                       {
                           if (answers != nullptr)
                               answers->add(steady_now() - began);
                           respond(answer_response(answer));
                       });
    };
}

http_response progress_response(entry_service& service, const submission_id& id)
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

http_response cancel_response(cancel_outcome outcome)
{
    switch (outcome)
    {
    case cancel_outcome::cancelled:
        return {.status = http_status::accepted, .body = "{}"};
    case cancel_outcome::unknown:
        return not_found();
    case cancel_outcome::unconfirmed:
        break;
    }
    auto response = error_response(http_status::unavailable, "unconfirmed",
                                   "the entry that holds the job can't be "
                                   "reached");
    response.retry_after_s = retry_after_s;
    return response;
}

//! Cancels the job at this entry only, for another entry.
http_response cancel_here(entry_service& service, const submission_id& id)
{
    return cancel_response(service.cancel_here(id) ? cancel_outcome::cancelled
                                                   : cancel_outcome::unknown);
}

//! Cancels the job wherever it is, for a caller.
route_handler cancel_route(entry_service& service)
{
    return [&service](const http_request&, std::string_view rest,
                      const http_responder& respond)
    {
        if (!is_valid_id(rest))
            return respond(not_found());
        service.cancel(submission_id(std::string(rest)),
                       [respond](cancel_outcome outcome)
                       { respond(cancel_response(outcome)); });
    };
}

//! Calls `use` with the submission id at the end of the path, or responds with
//! 404 if the id is not valid.
template <typename Use>
route_handler with_job(entry_service& service, Use use)
{
    return [&service, use](const http_request&, std::string_view rest,
                           const http_responder& respond)
    {
        if (!is_valid_id(rest))
            return respond(not_found());
        respond(use(service, submission_id(std::string(rest))));
    };
}

http_response readiness_response(const entry_service& service)
{
    if (service.ready())
        return {.body = R"({"ready":true})"};
    return {.status = http_status::unavailable,
            .body = R"({"ready":false})",
            .retry_after_s = retry_after_s};
}

process_metrics metrics_of(entry_service& service,
                           const latency_statistics& answers,
                           traffic_meter& traffic)
{
    const auto n = service.counts();
    const auto counter = metric_kind::counter;
    const auto gauge = metric_kind::gauge;
    process_metrics metrics;
    metrics.samples = {
        {"lagoonquay_jobs_accepted_total", "Jobs accepted.", counter, n.jobs},
        {"lagoonquay_jobs_joined_total",
         "Submissions of a job that was known already.", counter, n.joined},
        {"lagoonquay_jobs_refused_total", "Jobs refused.", counter, n.refused},
        {"lagoonquay_jobs_completed_total", "Jobs answered whole.", counter,
         n.completed},
        {"lagoonquay_jobs_failed_total", "Jobs answered as failed.", counter,
         n.failed},
        {"lagoonquay_dispatches_total", "Tasks sent to agents.", counter,
         n.dispatched},
        {"lagoonquay_requeues_total",
         "Dispatches that an agent declined without a start.", counter,
         n.requeued},
        {"lagoonquay_results_dropped_total", "Late or doubled results.",
         counter, n.dropped_results},
        {"lagoonquay_jobs_unanswered", "Jobs in progress.", gauge,
         service.unanswered()},
        {"lagoonquay_ready", "1 while the entry takes jobs.", gauge,
         service.ready() ? 1U : 0U},
        {"lagoonquay_fleet_version", "Version of the fleet's state in use.",
         gauge, service.view()->version.number()},
        permit_left_sample(service.permit_left()),
        silence_sample("control", service.time_since_control())};
    auto reasons = service.answers_by_reason().samples(
        "lagoonquay_answers_total", "Answers and refusals by reason.");
    std::move(reasons.begin(), reasons.end(),
              std::back_inserter(metrics.samples));
    auto exchanged = traffic_samples(traffic.read());
    std::move(exchanged.begin(), exchanged.end(),
              std::back_inserter(metrics.samples));
    metrics.latencies = {
        {"lagoonquay_job_seconds", "Time from a submission to its answer.",
         answers.summary()},
        {"lagoonquay_task_wait_seconds",
         "Time that a task waited before it was sent to an agent.",
         service.waits()}};
    return metrics;
}

} // namespace

// An entry that goes on by an old view of the fleet asks another group than the
// others do, and could hold a claim beside one of them. Its releases and
// lookups change nothing for the others.
http_response claim_response(ledger_replica& ledger, const std::string& body,
                             const unlisted_hook& is_unlisted,
                             const vote_hook& tell_entries)
{
    const auto asked = decode_claim_request(body);
    if (!asked)
        return error_response(http_status::bad_request, "malformed",
                              asked.error().detail);
    const auto& it = *asked.value();
    if (is_unlisted && !it.release && !it.lookup &&
        is_unlisted(it.holder, it.holder_run))
        return error_response(http_status::unavailable, "unlisted",
                              "control no longer lists this entry");
    const auto vote = ledger.claim(asked.value());
    return {.body = encode_claim_vote(
                tell_entries ? tell_entries(vote, asked.value()) : vote)};
}

http_handler caller_routes(entry_service& service, const job_limits& limits,
                           latency_statistics& answers)
{
    const std::string jobs(jobs_path);
    return route_requests(
        {health_route(),
         {http_method::get, "/readyz",
          answer_with([&service] { return readiness_response(service); })},
         {http_method::post, jobs,
          submit_route(service, limits, decode_job, &answers)},
         {http_method::post, "/v1/requests",
          submit_route(service, limits, decode_single_request, &answers)},
         {http_method::get, jobs + "/", with_job(service, progress_response)},
         {http_method::remove, jobs + "/", cancel_route(service)}});
}

http_handler peer_routes(entry_service& service, ledger_replica& ledger,
                         entry_peers& peers, const replica_groups_hook& groups,
                         const job_limits& limits)
{
    const auto is_unlisted = [&peers](const entry_id& entry, incarnation run)
    {
        return peers.is_unlisted(entry, run);
    };
    const auto tell =
        [&peers, groups](const claim_vote& vote, const claim_request& asked)
    {
        return peers.tell_entries(vote, asked, groups);
    };
    const auto claim = [&ledger, is_unlisted,
                        tell](const http_request& request, std::string_view,
                              const http_responder& respond)
    {
        respond(claim_response(ledger, request.body, is_unlisted, tell));
    };
    const auto held = [&service, &ledger, &peers](const http_request& request,
                                                  std::string_view,
                                                  const http_responder& respond)
    {
        respond(held_claims_response(
            request,
            peers.with_entries({.settled = ledger.complete() ||
                                           service.agents().no_stray_runs(),
                                .claims = service.held_claims()})));
    };
    const auto established = [&peers]() -> http_response
    {
        return {.body = encode_held_claims(peers.with_entries({}))};
    };
    const auto records = [&ledger](const http_request& request,
                                   std::string_view first,
                                   const http_responder& respond)
    {
        respond(ledger_records_response(ledger, request, first));
    };
    return route_requests(
        {{http_method::post, "/v1/ledger/claim", claim},
         {http_method::get, "/v1/ledger/held", held},
         {http_method::get, "/v1/ledger/established", answer_with(established)},
         {http_method::get, "/v1/ledger/records/", records},
         {http_method::post, std::string(jobs_path),
          submit_route(service, limits, decode_job, nullptr)},
         {http_method::remove, std::string(jobs_path) + "/",
          with_job(service, cancel_here)}});
}

http_handler entry_operator_routes(entry_service& service,
                                   const latency_statistics& answers,
                                   traffic_meter& traffic)
{
    return route_requests(
        operator_routes({.dump = [&service] { return service.dump(); },
                         .metrics =
                             [&service, &answers, &traffic]
                         {
                             return metrics_of(service, answers, traffic);
                         }}));
}

cancel_hook cancel_over_http(http_client& client)
{
    return [&client](const std::string& address, const submission_id& id,
                     const cancel_callback& done)
    {
        const auto target = parse_endpoint(address);
        if (!target)
            return done(cancel_outcome::unconfirmed);
        http_request request;
        request.method = http_method::remove;
        request.path = std::string(jobs_path) + "/" + id.text();
        client.send(target.value(), request, cancel_timeout,
                    [done](const connection_result<http_response>& answer)
                    {
                        if (!answer)
                            return done(cancel_outcome::unconfirmed);
                        const auto status = answer.value().status;
                        if (status == http_status::accepted)
                            return done(cancel_outcome::cancelled);
                        done(status == http_status::not_found
                                 ? cancel_outcome::unknown
                                 : cancel_outcome::unconfirmed);
                    });
    };
}

// The holder knows the job's priority, and an entry of an earlier version would
// refuse a member that it doesn't know.
forward_hook forward_over_http(http_client& client)
{
    return [&client](const std::string& address, const job& work,
                     forwarded_hook done)
    {
        const auto target = parse_endpoint(address);
        if (!target)
            return done(std::nullopt);
        const http_request request{
            .method = http_method::post,
            .path = std::string(jobs_path),
            .query = {},
            .body =
                encode_job(work.with([](job_options& it) { it.priority = 0; })),
            .bearer = {}};
        client.send(
            target.value(), request, work->time_limit,
            [done = std::move(done)](connection_result<http_response> answer)
            {
                if (!answer)
                    return done(std::nullopt);
                auto decoded = decode_answer(answer.value().body);
                if (!decoded)
                    return done(std::nullopt);
                done(decoded.value());
            });
    };
}

} // namespace lagoonquay
