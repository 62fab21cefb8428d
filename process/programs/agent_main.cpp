//! lagoonquay-agent: guards the starts of one upstream.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/agent_http.hpp"
#include "lagoonquay/process/agent_node.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

process_result<void> run(const agent_settings& settings)
{
    io_threads io(settings.process.threads);
    http_client upstream_client(io.context(),
                                {.response_bytes = settings.answer_bytes});
    agent_node node(settings,
                    {.call_upstream = call_over_http(upstream_client)}, io);
    auto upstream = http_server::listen(
        io.context(), listener_options(settings.process, settings.upstream),
        upstream_routes(node.service()));
    BOOST_OUTCOME_TRY(require_listening({&upstream}));
    BOOST_OUTCOME_TRY(node.start());
    serve_until_stopped<agent_settings>(
        io, settings.process.source, load_agent_settings,
        [&node](const agent_settings& it) { node.reload(it); },
        [&] { node.drain(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<agent_settings>(
        argc, argv,
        {.name = "lagoonquay-agent",
         .summary = "Guards the starts of an upstream.",
         .load = load_agent_settings,
         .run = run});
}
