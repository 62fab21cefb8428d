//! Control replicas on real logs, over disks that fill up and a fake network,
//! in virtual time. Nothing runs beside the test: each call waits until the
//! storage threads are at rest.
#pragma once

#include "full_disk.hpp"
#include "lagoonquay/process/control_replica.hpp"

#include <deque>
#include <filesystem>
#include <map>
#include <optional>
#include <random>

namespace lagoonquay
{

class disk_cluster
{
public:
    static constexpr std::size_t voters = 5;

    //! A change that an operator sends until it is acknowledged.
    struct change
    {
        command asked;
        instant first_sent;
        std::optional<instant> acknowledged;
        command_outcome outcome;
    };

    //! @param size  more than the voters: the others wait for a free place.
    explicit disk_cluster(unsigned seed, std::size_t size = voters);
    ~disk_cluster();
    disk_cluster(const disk_cluster&) = delete;
    disk_cluster& operator=(const disk_cluster&) = delete;

    void pass(duration time); //!< ticks, and sends what is unanswered again
    void send_change();

    full_disk& disk(std::size_t slot);
    std::optional<std::size_t> leader() const;
    control_replica_state state(std::size_t slot) const;
    unsigned failed_writes(std::size_t slot) const;
    unsigned failed_compactions() const; //!< of all replicas
    instant now() const;
    const std::vector<change>& changes() const;
    std::mt19937& random();

    //! @return how many voters answer with the change's first outcome.
    std::size_t holders(const change& it);

private:
    struct slot_parts;
    using event = std::function<void()>;

    control_replica_options options_of(std::size_t slot) const;
    control_replica_hooks hooks_of(std::size_t slot);
    void step();
    void settle();
    void run_events();
    void try_recoveries();
    void resend();
    void post(event it);
    std::size_t slot_at(const std::string& address) const;

    std::mt19937 random_;
    const std::filesystem::path folder_;
    mutable std::mutex mutex_;
    instant now_{std::chrono::seconds(100)};
    std::deque<event> events_;
    std::vector<std::unique_ptr<slot_parts>> slots_;
    std::vector<change> changes_;
};

} // namespace lagoonquay
