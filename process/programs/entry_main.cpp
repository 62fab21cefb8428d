//! lagoonquay-entry: takes jobs from callers and answers them.
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/entry_node.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/program.hpp"

namespace lagoonquay
{

namespace
{

process_result<void> run(const entry_settings& settings)
{
    io_threads io(settings.process.threads);
    entry_node node(settings, {}, io);
    auto callers = http_server::listen(
        io.context(), listener_options(settings.process, settings.callers),
        caller_routes(node.service(), settings.jobs, node.answers()));
    BOOST_OUTCOME_TRY(require_listening({&callers}));
    BOOST_OUTCOME_TRY(node.start());
    serve_until_stopped<entry_settings>(
        io, settings.process.source, load_entry_settings,
        [&node](const entry_settings& it) { node.reload(it); },
        [&] { node.drain(callers.value()); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

} // namespace lagoonquay

int main(int argc, char** argv)
{
    using namespace lagoonquay;
    return run_program<entry_settings>(
        argc, argv,
        {.name = "lagoonquay-entry",
         .summary = "Takes jobs and answers them.",
         .load = load_entry_settings,
         .run = run});
}
