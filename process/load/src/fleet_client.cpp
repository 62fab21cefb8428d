#include "lagoonquay/load/fleet_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/request/job_codec.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <future>

namespace lagoonquay::load
{

namespace
{

constexpr duration state_timeout = std::chrono::seconds(2);
//! How much longer than its deadline a job's answer is waited for.
constexpr duration answer_grace = std::chrono::seconds(10);

http_request get(const std::string& path)
{
    return {.method = http_method::get,
            .path = path,
            .query = {},
            .body = {},
            .bearer = {}};
}

http_request post(const std::string& path, std::string body)
{
    return {.method = http_method::post,
            .path = path,
            .query = {},
            .body = std::move(body),
            .bearer = {}};
}

std::optional<job_answer> read_answer(connection_result<http_response> response)
{
    if (!response)
        return std::nullopt;
    auto answer = decode_answer(response.value().body);
    if (!answer)
        return std::nullopt;
    return std::move(answer).value();
}

//! Sends one request to each target and blocks until all are answered.
std::vector<connection_result<http_response>>
ask_all(http_client& client, const std::vector<endpoint>& targets,
        const http_request& request)
{
    using response = connection_result<http_response>;
    std::vector<std::future<response>> pending;
    for (const auto& it : targets)
    {
        const auto answer = std::make_shared<std::promise<response>>();
        pending.push_back(answer->get_future());
        client.send(it, request, state_timeout,
                    [answer](response got)
                    { answer->set_value(std::move(got)); });
    }
    std::vector<response> answers;
    answers.reserve(pending.size());
    for (auto& it : pending)
        answers.push_back(it.get());
    return answers;
}

} // namespace

fleet_client::fleet_client(http_client& client, fleet_layout layout)
    : client_(client), layout_(std::move(layout))
{
}

void fleet_client::submit(std::size_t entry, const job& work,
                          const reply_hook& done)
{
    const auto targets = layout_.entry_callers();
    client_.send(targets.at(entry), post("/v1/jobs", encode_job(work)),
                 work->time_limit + answer_grace,
                 [done](connection_result<http_response> response)
                 { done(read_answer(std::move(response))); });
}

void fleet_client::cancel(std::size_t entry, const submission_id& id)
{
    auto request = get("/v1/jobs/" + id.text());
    request.method = http_method::remove;
    client_.send(layout_.entry_callers().at(entry), request, state_timeout,
                 [](const connection_result<http_response>&) {});
}

void fleet_client::set_domain_service(const std::string& domain,
                                      bool in_service, const std::string& id)
{
    send_command(command({.id = command_id(id),
                          .author = "load",
                          .expected = {},
                          .what = set_domain{domain_id(domain), in_service}}));
}

void fleet_client::set_fleet_settings(const std::string& settings,
                                      const std::string& id)
{
    send_command(command({.id = command_id(id),
                          .author = "load",
                          .expected = {},
                          .what = set_settings{settings}}));
}

void fleet_client::sample_agents(const std::function<void(agent_sample)>& each)
{
    for (const auto& it : layout_.agent_operators())
    {
        client_.send(it, get("/v1/state"), state_timeout,
                     [each](const connection_result<http_response>& response)
                     {
                         if (!response)
                             return;
                         const auto sample =
                             decode_agent_state(response.value().body);
                         if (sample)
                             each(sample.value());
                     });
    }
}

entry_sample fleet_client::sum_entries()
{
    entry_sample sum;
    for (const auto& it :
         ask_all(client_, layout_.entry_operators(), get("/v1/state")))
    {
        if (!it)
            continue;
        const auto sample = decode_entry_state(it.value().body);
        if (!sample)
            continue;
        sum.dispatched += sample.value().dispatched;
        sum.requeued += sample.value().requeued;
        sum.dropped_results += sample.value().dropped_results;
    }
    return sum;
}

bool fleet_client::ready()
{
    for (const auto& it :
         ask_all(client_, layout_.entry_callers(), get("/readyz")))
    {
        if (!it || it.value().status != http_status::ok)
            return false;
    }
    return true;
}

// Every replica gets the command: one that leads applies it, and one that has
// it already returns its first outcome.
void fleet_client::send_command(const command& asked)
{
    const auto request = post("/v1/commands", encode_command(asked));
    for (const auto& it : layout_.control_operators())
        client_.send(it, request, state_timeout,
                     [](const connection_result<http_response>&) {});
}

} // namespace lagoonquay::load
