//! One entry with its ledger replica, heartbeats and listeners. The interface
//! that callers use is the program's own.
#pragma once

#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/process_settings.hpp"

#include <memory>

namespace lagoonquay
{

class io_threads;
class latency_statistics;

//! How a program's entry differs from the product's own.
struct entry_node_options
{
    //! The ledger's other replicas are the entries that control names, instead
    //! of those of the settings.
    bool follow_entries = false;
    bool dated_jobs = true;
    permit_policy permits = permit_policy::expire;
    duration view_limit = entry_options().view_limit;

    friend bool operator==(const entry_node_options&,
                           const entry_node_options&) = default;
};

//! Runs an entry until it is drained. Its threads outlive it.
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

    //! Takes over what may change while the process runs: the control replicas
    //! to ask first.
    void reload(const entry_settings& settings);

    //! Takes jobs for the notice of the settings, in which the balancer learns
    //! that this entry leaves, and none after it; blocks until every accepted
    //! one is answered and every response of `callers` is written.
    void drain(http_server& callers);

private:
    struct parts;

    const std::unique_ptr<parts> parts_;
};

} // namespace lagoonquay
