//! lagoonquayctl: operates a fleet.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/operator_arguments.hpp"
#include "lagoonquay/process/operator_client.hpp"
#include "lagoonquay/process/operator_output.hpp"
#include "lagoonquay/process/request_story.hpp"
#include "lagoonquay/version/fleet_settings.hpp"

#include <algorithm>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

namespace lagoonquay
{

namespace
{

// Longer than a replica's wait for its quorum, so that it answers first.
constexpr duration request_timeout = std::chrono::seconds(5);
constexpr duration progress_period = std::chrono::milliseconds(500);

void pause_for(duration span)
{
    std::this_thread::sleep_for(span);
}

blocking_send_hook send_over_http(http_client& client)
{
    return [&client](const endpoint& target, const http_request& request)
    {
        std::promise<connection_result<http_response>> answered;
        client.send(target, request, request_timeout,
                    [&](connection_result<http_response> it)
                    { answered.set_value(std::move(it)); });
        return answered.get_future().get();
    };
}

exit_code code_of(operator_errc code) noexcept
{
    switch (code)
    {
    case operator_errc::unreachable:
    case operator_errc::bad_answer:
        return exit_code::no_answer;
    case operator_errc::unauthorized:
        return exit_code::unauthorized;
    case operator_errc::rejected:
        return exit_code::failed;
    }
    return exit_code::failed;
}

exit_code report(const layer_error<operator_errc>& error)
{
    std::cerr << "lagoonquayctl: " << error.detail << "\n";
    return code_of(error.code);
}

exit_code report_settings(const std::string& path, const std::string& detail)
{
    std::cerr << path << ": " << detail << "\n";
    return exit_code::bad_settings;
}

// A change is in force once every permit from older state has run out.
void wait_in_force(duration span)
{
    auto left = span;
    while (left > duration::zero())
    {
        const auto left_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(left);
        std::cerr << "in force everywhere in " << left_ms.count() << " ms\n";
        const auto step = std::min(left, progress_period);
        pause_for(step);
        left -= step;
    }
    std::cerr << "in force everywhere\n";
}

//! Performs one action; called for the alternative that was asked for.
struct action_runner
{
    operator_client& client;
    const operator_arguments& arguments;

    exit_code operator()(const send_change& it) const
    {
        if (const auto slip = find_slip(it.what))
        {
            std::cerr << "lagoonquayctl: " << *slip
                      << "; nothing was sent; --force sends it\n";
            return exit_code::failed;
        }
        command_options options;
        options.id = arguments.id;
        options.author = arguments.author;
        options.expected = arguments.expected;
        options.what = it.what;
        return run(command(std::move(options)));
    }

    exit_code operator()(const replace_settings& it) const
    {
        std::ifstream in(it.path);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in)
            return report_settings(it.path, "cannot be read");
        const auto checked = parse_fleet_settings(text.str());
        if (!checked)
            return report_settings(it.path, checked.error().detail);
        return (*this)(send_change{set_settings{text.str()}});
    }

    exit_code operator()(const show_settings&) const
    {
        return with_status(
            [&](const fleet_status& status)
            {
                return arguments.json ? settings_json(status.view())
                                      : status.view()->settings;
            });
    }

    exit_code operator()(const list_exceptions&) const
    {
        return with_status(
            [&](const fleet_status& status)
            {
                const auto found = exceptions_in(status.view()->settings);
                return arguments.json ? exceptions_json(found)
                                      : exceptions_text(found);
            });
    }

    exit_code operator()(const show_status&) const
    {
        return with_status(
            [&](const fleet_status& status) {
                return arguments.json ? status_json(status)
                                      : status_text(status);
            });
    }

    exit_code operator()(const dump_process& it) const
    {
        const auto dump = client.dump(it.target);
        if (!dump)
            return report(dump.error());
        std::cout << dump.value() << "\n";
        return exit_code::ok;
    }

    exit_code operator()(const explain_request& it) const
    {
        request_story story(it.submission);
        for (const auto& path : it.logs)
        {
            std::ifstream log(path);
            if (!log)
            {
                std::cerr << "lagoonquayctl: " << path << " cannot be read\n";
                return exit_code::usage;
            }
            story.read(log);
        }
        const auto told = story.tell();
        std::cout << (arguments.json ? story_json(told) : story_text(told));
        if (!told.empty())
            return exit_code::ok;
        std::cerr << "lagoonquayctl: no line names " << it.submission.text()
                  << "\n";
        return exit_code::failed;
    }

private:
    // Where no replica answers, the command itself tells.
    std::optional<std::string> find_slip(const change& what) const
    {
        if (arguments.force)
            return std::nullopt;
        const auto status = client.status();
        if (!status || !status.value().has_quorum())
            return std::nullopt;
        return unknown_target(status.value(), what);
    }

    template <typename Print>
    exit_code with_status(Print print) const
    {
        const auto status = client.status();
        if (!status)
            return report(status.error());
        std::cout << print(status.value());
        if (status.value().has_quorum())
            return exit_code::ok;
        std::cerr << "lagoonquayctl: no majority of the replicas answered\n";
        return exit_code::no_answer;
    }

    exit_code run(const command& asked) const
    {
        std::cerr << "command id " << asked->id.text() << "\n";
        const auto reply = client.run(asked);
        if (!reply)
            return report(reply.error());
        const bool accepted = reply.value().outcome.accepted;
        if (!arguments.json)
            std::cout << reply_text(asked, reply.value()) << std::flush;
        const bool waits = accepted && arguments.wait;
        if (waits)
            wait_in_force(reply.value().in_force_after);
        if (arguments.json)
            std::cout << reply_json(asked, reply.value(), waits);
        return accepted ? exit_code::ok : exit_code::conflict;
    }
};

exit_code run(const operator_arguments& arguments)
{
    io_threads io(1);
    http_client http(io.context(), {});
    operator_client_options options;
    options.replicas = arguments.control;
    options.bearer = arguments.token;
    operator_client client(options,
                           {.send = send_over_http(http), .pause = pause_for});
    const auto code =
        std::visit(action_runner{client, arguments}, arguments.action);
    io.stop();
    return code;
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    const auto parsed = parse_operator_arguments(argc, argv);
    if (!parsed.arguments)
        return static_cast<int>(parsed.code);
    return static_cast<int>(run(*parsed.arguments));
}
