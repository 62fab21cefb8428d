//! lagoonquay-control: one replica of the fleet's state.
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/control_http.hpp"
#include "lagoonquay/process/control_node.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

process_result<void> run(const control_settings& settings)
{
    io_threads io(settings.process.threads);
    BOOST_OUTCOME_TRY(const auto node, control_node::open(settings, {}, io));
    auto members = http_server::listen(
        io.context(), listener_options(settings.process, settings.members),
        member_routes(node->service(), settings.process.operator_token));
    auto operators = http_server::listen(
        io.context(), operator_listener_options(settings.process),
        control_operator_routes(node->service(), node->syncs()));
    BOOST_OUTCOME_TRY(require_listening({&members, &operators}));
    node->start();
    serve_until_stopped<control_settings>(
        io, settings.process.source, load_control_settings,
        [&node](const control_settings& it) { node->reload(it); },
        [&] { node->drain(operators.value()); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<control_settings>(
        argc, argv,
        {.name = "lagoonquay-control",
         .summary = "Keeps one replica of the fleet's state.",
         .load = load_control_settings,
         .run = run});
}
