//! lagoonquay-control: one replica of the fleet's state.
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/control_http.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "main";

process_result<void> run(const control_settings& settings)
{
    io_threads io(settings.process.threads);
    control_service service({.id = replica_id(settings.process.id)},
                            steady_now);
    auto members = http_server::listen(
        io.context(), {.listen = settings.members}, member_routes(service));
    auto operators =
        http_server::listen(io.context(),
                            {.listen = settings.process.operators,
                             .bearer = settings.process.operator_token},
                            control_operator_routes(service));
    for (const auto* it : {&members, &operators})
    {
        if (!*it)
            return fail(process_errc::bad_listen, it->error().detail);
    }
    write_log(log_level::info, part, "Control replica started.");
    io.wait_for_stop_signal();
    write_log(log_level::info, part, "Stopped.");
    io.stop();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    const auto parsed =
        parse_arguments(argc, argv, "lagoonquay-control",
                        "Keeps one replica of the fleet's state.");
    if (!parsed.arguments)
        return static_cast<int>(parsed.code);
    const auto settings = load_control_settings(parsed.arguments->config);
    if (!settings)
        return static_cast<int>(report(settings.error()));
    if (parsed.arguments->check_only)
        return 0;
    open_log(settings.value().process.log);
    const auto ended = run(settings.value());
    return ended ? 0 : static_cast<int>(report(ended.error()));
}
