#include "fleet.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/request/job_codec.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace lagoonquay
{

namespace
{

constexpr std::size_t role_control = 1;
constexpr std::size_t role_entry = 2;
constexpr std::size_t role_agent = 3;

constexpr const char* first_port = "7001";
constexpr const char* second_port = "7002";
constexpr const char* operators_port = "7003";
constexpr const char* upstream_port = "7004";

constexpr auto poll = std::chrono::milliseconds(20);
constexpr auto overload_pause = std::chrono::milliseconds(100);
constexpr auto patience = std::chrono::seconds(60);

std::string at(const std::string& address, const char* port)
{
    return address + ":" + port;
}

endpoint to_endpoint(const std::string& text)
{
    return parse_endpoint(text).value();
}

// Two tests at once have different process ids, and so different addresses.
std::string network()
{
    constexpr int first_octet = 64;
    constexpr int octet_values = 64;
    constexpr int octet_bits = 8;
    const int id = ::getpid();
    const int high = first_octet + ((id >> octet_bits) % octet_values);
    const int low = id % (1 << octet_bits);
    return "127." + std::to_string(high) + "." + std::to_string(low) + ".";
}

} // namespace

fleet::fleet(const fleet_options& options)
    : options_(options),
      folder_((std::filesystem::temp_directory_path() /
               ("lagoonquay-test-" + std::to_string(::getpid())))
                  .string()),
      io_(std::make_unique<io_threads>(2)),
      client_(
          std::make_unique<http_client>(io_->context(), http_client_options{}))
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (std::size_t n = 0; n < options_.controls; ++n)
        add_control(n);
    for (std::size_t n = 0; n < options_.entries; ++n)
        add_entry(n);
    for (std::size_t n = 0; n < options_.agents; ++n)
        add_agent(n);
}

fleet::~fleet()
{
    for (auto* group : {&upstreams_, &agents_, &entries_, &controls_})
    {
        for (auto& it : *group)
            it.process.reset();
    }
    client_.reset();
    io_->stop();
    std::filesystem::remove_all(folder_);
}

void fleet::start()
{
    for (auto* group : {&controls_, &agents_, &upstreams_, &entries_})
    {
        for (auto& it : *group)
            start(it);
    }
    if (!eventually([this] { return ready(); }))
        throw std::runtime_error("the fleet did not become ready");
}

void fleet::start(fleet_member& it)
{
    it.process.reset();
    it.process.emplace(it.program, it.arguments,
                       folder_ + "/" + it.id + ".log");
}

fleet_member& fleet::control(std::size_t n)
{
    return controls_.at(n);
}

fleet_member& fleet::entry(std::size_t n)
{
    return entries_.at(n);
}

fleet_member& fleet::agent(std::size_t n)
{
    return agents_.at(n);
}

fleet_member& fleet::upstream(std::size_t n)
{
    return upstreams_.at(n);
}

endpoint fleet::callers(std::size_t entry) const
{
    return to_endpoint(at(address(role_entry, entry), first_port));
}

endpoint fleet::control_members(std::size_t control) const
{
    return to_endpoint(at(address(role_control, control), first_port));
}

endpoint fleet::control_operators(std::size_t control) const
{
    return to_endpoint(at(address(role_control, control), operators_port));
}

endpoint fleet::entry_operators(std::size_t entry) const
{
    return to_endpoint(at(address(role_entry, entry), operators_port));
}

endpoint fleet::agent_operators(std::size_t agent) const
{
    return to_endpoint(at(address(role_agent, agent), operators_port));
}

std::string fleet::domain(std::size_t n) const
{
    return "south-" + std::to_string(n % options_.domains + 1);
}

std::string fleet::agent_domain(std::size_t agent) const
{
    return domain(agent);
}

std::string fleet::data_folder(std::size_t control) const
{
    return folder_ + "/data-" + std::to_string(control + 1);
}

std::optional<http_response> fleet::send(const endpoint& target,
                                         const http_request& request)
{
    std::promise<std::optional<http_response>> answered;
    auto answer = answered.get_future();
    client_->send(target, request, patience,
                  [&](connection_result<http_response> it)
                  {
                      if (it)
                          answered.set_value(std::move(it).value());
                      else
                          answered.set_value(std::nullopt);
                  });
    return answer.get();
}

std::optional<http_response> fleet::get(const endpoint& target,
                                        const std::string& path)
{
    return send(target, {.method = http_method::get, .path = path});
}

std::optional<http_response> fleet::post(const endpoint& target,
                                         const std::string& path,
                                         const std::string& body)
{
    return send(target,
                {.method = http_method::post, .path = path, .body = body});
}

std::future<std::optional<http_response>> fleet::submit(std::size_t entry,
                                                        const job& submitted)
{
    auto body = encode_job(submitted);
    return std::async(std::launch::async,
                      [this, target = callers(entry), it = std::move(body)]
                      { return post(target, "/v1/jobs", it); });
}

std::future<std::optional<http_response>>
fleet::submit_until_taken(std::size_t entry, const job& submitted)
{
    auto body = encode_job(submitted);
    return std::async(std::launch::async,
                      [this, target = callers(entry), it = std::move(body)]
                      {
                          auto answer = post(target, "/v1/jobs", it);
                          while (answer && answer->status ==
                                               http_status::too_many_requests)
                          {
                              std::this_thread::sleep_for(overload_pause);
                              answer = post(target, "/v1/jobs", it);
                          }
                          return answer;
                      });
}

std::vector<start_count> fleet::starts() const
{
    std::vector<start_count> counts;
    for (std::size_t n = 0; n < options_.agents; ++n)
    {
        std::ifstream in(folder_ + "/starts-" + std::to_string(n));
        std::string line;
        while (std::getline(in, line))
        {
            start_count seen;
            std::istringstream(line) >> seen.submission >> seen.index;
            const auto it =
                std::find_if(counts.begin(), counts.end(),
                             [&](const start_count& other) {
                                 return other.submission == seen.submission &&
                                        other.index == seen.index;
                             });
            if (it == counts.end())
            {
                seen.starts = 1;
                counts.push_back(seen);
                continue;
            }
            ++it->starts;
        }
    }
    return counts;
}

std::size_t fleet::most_starts() const
{
    std::size_t most = 0;
    for (const auto& it : starts())
        most = std::max(most, it.starts);
    return most;
}

std::size_t fleet::starts_of(const std::string& submission) const
{
    std::size_t total = 0;
    for (const auto& it : starts())
    {
        if (it.submission != submission)
            continue;
        total += it.starts;
    }
    return total;
}

bool fleet::eventually(const std::function<bool()>& reached)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!reached())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll);
    }
    return true;
}

std::string fleet::address(std::size_t role, std::size_t n) const
{
    constexpr std::size_t role_range = 60;
    return network() + std::to_string(role * role_range + n + 1);
}

std::string fleet::control_list() const
{
    std::string list;
    for (std::size_t n = 0; n < options_.controls; ++n)
    {
        list += list.empty() ? "" : ", ";
        list += at(address(role_control, n), first_port);
    }
    return list;
}

std::string fleet::write_settings(const std::string& name,
                                  const std::string& text) const
{
    auto path = folder_ + "/" + name + ".ini";
    std::ofstream(path) << text;
    return path;
}

std::string fleet::common(const std::string& id, const std::string& domain_name,
                          const std::string& operators) const
{
    return "[process]\nid = " + id + "\ndomain = " + domain_name +
           "\n[operators]\nlisten = " + operators +
           "\n[control]\nreplicas = " + control_list() + "\n";
}

void fleet::add_control(std::size_t n)
{
    const auto id = "control-" + std::to_string(n + 1);
    const auto own = address(role_control, n);
    auto text = common(id, domain(n), at(own, operators_port));
    text += "[members]\nlisten = " + at(own, first_port);
    text += "\n[storage]\nfolder = " + data_folder(n) + "\nbootstrap = true\n";
    controls_.push_back({"lagoonquay-control",
                         id,
                         {"--config", write_settings(id, text)},
                         std::nullopt});
}

void fleet::add_entry(std::size_t n)
{
    const auto id = "entry-" + std::to_string(n + 1);
    const auto own = address(role_entry, n);
    std::string peers;
    for (std::size_t other = 0; other < options_.entries; ++other)
    {
        if (other == n)
            continue;
        peers += peers.empty() ? "" : ", ";
        peers += at(address(role_entry, other), second_port);
    }
    auto text = common(id, domain(n), at(own, operators_port));
    text += "[callers]\nlisten = " + at(own, first_port);
    text += "\n[peers]\nlisten = " + at(own, second_port);
    text += "\n[ledger]\npeers = " + peers + "\n";
    entries_.push_back({"lagoonquay-entry",
                        id,
                        {"--config", write_settings(id, text)},
                        std::nullopt});
}

void fleet::add_agent(std::size_t n)
{
    const auto number = std::to_string(n + 1);
    const auto own = address(role_agent, n);
    const auto id = "agent-" + number;
    auto text = common(id, agent_domain(n), at(own, operators_port));
    text += "[entries]\nlisten = " + at(own, first_port);
    text += "\n[upstream]\nlisten = " + at(own, second_port) + "\n";
    agents_.push_back({"lagoonquay-agent",
                       id,
                       {"--config", write_settings(id, text)},
                       std::nullopt});
    upstreams_.push_back(
        {"lagoonquay-upstream",
         "upstream-" + number,
         {"--listen", at(own, upstream_port), "--agent", at(own, second_port),
          "--slots", std::to_string(options_.slots), "--record",
          folder_ + "/starts-" + std::to_string(n)},
         std::nullopt});
}

bool fleet::ready()
{
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        const auto answer = get(callers(n), "/readyz");
        if (!answer || answer->status != http_status::ok)
            return false;
    }
    for (std::size_t n = 0; n < options_.agents; ++n)
    {
        const auto state = get(agent_operators(n), "/v1/state");
        if (!state ||
            state->body.find("\"accepting\":true") == std::string::npos)
            return false;
        const auto links = "\"links\":" + std::to_string(options_.entries);
        if (state->body.find(links) == std::string::npos)
            return false;
    }
    return probe();
}

// A ledger that has just started refuses what may be older than its memory;
// the fleet is ready once a fresh job goes through every entry.
bool fleet::probe()
{
    for (std::size_t n = 0; n < options_.entries; ++n)
    {
        const auto id = "probe-" + std::to_string(probes_++);
        const auto answer =
            submit(n, make_job(id, 1, std::chrono::milliseconds(1))).get();
        if (!answer || answer->status != http_status::ok)
            return false;
    }
    return true;
}

job make_job(const std::string& submission, std::size_t tasks,
             std::chrono::milliseconds run_time)
{
    const auto payload =
        "{\"run_ms\":" + std::to_string(run_time.count()) + "}";
    job_options options;
    options.submission = submission_id(submission);
    options.customer = customer_id("order-desk");
    options.created = wall_now();
    options.time_limit = std::chrono::seconds(30);
    for (std::size_t n = 0; n < tasks; ++n)
        options.tasks.push_back(task({.kind = "quote", .payload = payload}));
    return job(std::move(options));
}

} // namespace lagoonquay
