//! lagoonquay-upstream: a stand-in upstream for tests and the quickstart.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/program.hpp"
#include "lagoonquay/process/stand_in_upstream.hpp"

#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <mutex>

namespace lagoonquay
{

namespace
{

constexpr duration announce_period = std::chrono::milliseconds(500);
constexpr duration announce_timeout = std::chrono::milliseconds(400);

//! Appends one line per start to a file, if there is one.
class start_record
{
public:
    explicit start_record(const std::string& path)
    {
        if (!path.empty())
            out_.open(path, std::ios::app);
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        if (out_.is_open())
            out_ << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

cxxopts::Options make_options()
{
    cxxopts::Options options("lagoonquay-upstream",
                             "Stand-in upstream for tests.");
    auto add = options.add_options();
    add("listen", "address:port for tasks", cxxopts::value<std::string>());
    add("agent", "address:port of the agent's upstream listener",
        cxxopts::value<std::string>());
    add("slots", "tasks at once",
        cxxopts::value<std::uint32_t>()->default_value("8"));
    add("processors", "processors offered",
        cxxopts::value<std::uint32_t>()->default_value("32"));
    add("memory-mb", "memory offered",
        cxxopts::value<std::uint32_t>()->default_value("65536"));
    add("accelerators", "accelerators offered",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("record", "file that gets a line for each start",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "print this help and exit");
    return options;
}

upstream_announcement to_announcement(const cxxopts::ParseResult& parsed,
                                      const endpoint& address)
{
    constexpr std::uint32_t milli = 1000;
    upstream_announcement it;
    it.address = address;
    it.slots = parsed["slots"].as<std::uint32_t>();
    it.capacity = {parsed["processors"].as<std::uint32_t>() * milli,
                   parsed["memory-mb"].as<std::uint32_t>(),
                   parsed["accelerators"].as<std::uint32_t>()};
    return it;
}

void announce(http_client& client, const endpoint& agent,
              const upstream_announcement& it,
              const std::function<void()>& done)
{
    const http_request request{.method = http_method::post,
                               .path = "/v1/announce",
                               .query = {},
                               .body = encode_announcement(it),
                               .bearer = {}};
    client.send(agent, request, announce_timeout,
                [done](const connection_result<http_response>&)
                {
                    if (done)
                        done();
                });
}

exit_code run(const cxxopts::ParseResult& parsed)
{
    const auto listen = parse_endpoint(parsed["listen"].as<std::string>());
    const auto agent = parse_endpoint(parsed["agent"].as<std::string>());
    if (!listen || !agent)
    {
        std::cerr << "--listen and --agent need address:port\n";
        return exit_code::usage;
    }
    io_threads io(1);
    http_client client(io.context(), {});
    start_record record(parsed["record"].as<std::string>());
    stand_in_upstream upstream([&](duration delay, std::function<void()> work)
                               { io.after(delay, std::move(work)); },
                               [&](const std::string& line)
                               { record.add(line); });
    const auto server = http_server::listen(
        io.context(), {.listen = listen.value()}, upstream.routes());
    if (!server)
    {
        std::cerr << server.error().detail << "\n";
        return exit_code::failed;
    }
    const auto about = to_announcement(parsed, listen.value());
    std::atomic<bool> leaving{false};
    const auto repeat = [&](const std::function<void()>& done)
    {
        auto current = about;
        current.leaving = leaving;
        upstream.load().describe(current);
        announce(client, agent.value(), current, done);
    };
    repeat({});
    io.every(announce_period, [&] { repeat({}); });
    io.wait_for_stop_signal();
    leaving = true;
    std::promise<void> told;
    repeat([&] { told.set_value(); });
    told.get_future().wait();
    wait_until(
        [&]
        { return server.value().requests_in_progress() <= upstream.hung(); });
    io.stop();
    return exit_code::ok;
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    auto options = make_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return static_cast<int>(run(parsed));
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << "lagoonquay-upstream: " << e.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}
