//! One entry with its ledger replica, heartbeats, and listeners for other
//! entries and operators. The program provides the listener for callers.
#pragma once

#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/process_settings.hpp"

#include <memory>

namespace lagoonquay
{

class io_threads;
class latency_statistics;

//! Options that a program sets where its entry differs from lagoonquay-entry.
struct entry_node_options
{
    //! Whether the other ledger replicas are the entries that control lists,
    //! instead of those in the settings.
    bool replicas_from_control = false;
    bool dated_jobs = true; //!< whether callers set the creation time of a job
    permit_policy permits = permit_policy::expire;
    //! Maximum age of the fleet view. With an older view the entry does not
    //! report a queue as missing, and is not ready while control answers.
    duration max_view_age = entry_options().max_view_age;

    friend bool operator==(const entry_node_options&,
                           const entry_node_options&) = default;
};

//! Runs an entry until it is drained. The I/O threads must outlive it.
class entry_node
{
public:
    entry_node(const entry_settings& settings, entry_node_options options,
               io_threads& io);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    entry_service& service() noexcept;
    latency_statistics& answers() noexcept;

    //! Opens the listeners for other entries and operators, and starts the
    //! timers. @return success, or bad_listen.
    process_result<void> start();

    //! Applies the settings that may change while the process runs: the control
    //! replicas to contact first.
    void reload(const entry_settings& settings);

    //! Reports not ready, and still accepts jobs for the `drain_notice` of the
    //! settings, in which the load balancer stops sending any; then only those
    //! that end by their time limit before `drain_job_end`, until none is left.
    //! Blocks until every accepted job is answered and every response of
    //! `callers` is written.
    void drain(http_server& callers);

private:
    struct parts;

    const std::unique_ptr<parts> parts_;
};

} // namespace lagoonquay
