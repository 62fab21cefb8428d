//! One control replica with its disk, its transport and its timers.
#pragma once

#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/process_settings.hpp"

#include <memory>

namespace lagoonquay
{

class io_threads;
class http_server;
class latency_statistics;

//! How a program's replica differs from the product's own.
struct control_node_options
{
    //! Voters that the cluster grows to; zero keeps those of the settings.
    std::size_t voters = 0;
    duration replace_after = std::chrono::seconds(20);
    duration leaderless_votes = std::chrono::seconds(10);

    friend bool operator==(const control_node_options&,
                           const control_node_options&) = default;
};

//! Runs a replica until it is stopped. Its threads outlive it.
class control_node
{
public:
    //! Opens the data folder. @return the replica, or storage.
    static process_result<std::unique_ptr<control_node>>
    open(const control_settings& settings, control_node_options options,
         io_threads& io);

    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    control_service& service() noexcept;

    //! @return how long writes to the disk took, syncs included.
    const latency_statistics& syncs() const noexcept;

    //! Starts the timers; call once the listener for replicas is open.
    void start();

    //! Takes over what may change while the process runs: replicas to ask for
    //! the cluster.
    void reload(const control_settings& settings);

    //! Gives leadership away, for 2 s at most, and blocks until every response
    //! of `listener` is written.
    void drain(const http_server& listener);

private:
    struct parts;
    void hand_over();

    explicit control_node(std::unique_ptr<parts> opened) noexcept;

    const std::unique_ptr<parts> parts_;
};

} // namespace lagoonquay
