//! One agent with its links, heartbeats and listeners. The program supplies the
//! hooks that call the upstream.
#pragma once

#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/process_settings.hpp"

#include <memory>

namespace lagoonquay
{

class io_threads;

//! Options that a program sets for its agent in code, not in its settings.
struct agent_node_options
{
    permit_policy permits = permit_policy::expire;
    upstream_hook call_upstream;
    upstream_stop_hook stop_upstream_task = {};
    //! See agent_options::earlier_runs_timeout.
    duration earlier_runs_timeout = duration::zero();
    //! See agent_options::late_run_time.
    duration late_run_time = duration::zero();
    //! Maximum time that the upstream takes to stop a task.
    duration stop_time = std::chrono::milliseconds(50);
};

//! Runs an agent until it is drained. `io` must outlive it.
class agent_node
{
public:
    agent_node(const agent_settings& settings,
               const agent_node_options& options, io_threads& io);
    ~agent_node();
    agent_node(const agent_node&) = delete;
    agent_node& operator=(const agent_node&) = delete;

    agent_service& service() noexcept;

    //! Opens the listeners for entries and operators, and starts the timers.
    //! @return success, or bad_listen.
    process_result<void> start();

    //! Applies the settings that may change while the process runs: the control
    //! replicas to ask first.
    void reload(const agent_settings& settings);

    //! Accepts no new task; blocks until the result of every started one has
    //! been written to its link.
    void drain();

private:
    struct parts;

    const std::unique_ptr<parts> parts_;
};

} // namespace lagoonquay
