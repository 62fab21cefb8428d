//! An experiment, as its INI file describes it.
#pragma once

#include "lagoonquay/process/error.hpp"
#include "lagoonquay/request/immutable.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonquay::load
{

//! Processes of the fleet and the loopback network that they use.
struct fleet_shape
{
    std::string subnet = "127.50.1"; //!< first three parts of each address
    std::uint64_t entries = 3;
    std::uint64_t controls = 3;
    std::uint64_t workers = 11;
    std::uint64_t slots = 8; //!< per worker
    std::uint64_t domains = 3;
    std::uint64_t processors = 32;   //!< per worker
    std::uint64_t memory_mb = 65536; //!< per worker

    //! Fleet settings set before the run; empty to leave them.
    std::string routing;      //!< name of a route policy
    std::uint64_t subset = 0; //!< most agents per entry; 0 to leave it
    std::uint64_t weight = 0; //!< of the large customer; 0 for no exception

    friend bool operator==(const fleet_shape&, const fleet_shape&) = default;
};

//! When jobs arrive and how large they are.
struct arrival_shape
{
    duration length = std::chrono::seconds(20);
    std::uint64_t jobs_per_minute = 120;
    std::uint64_t burst_factor = 1; //!< rate during a burst over the usual
    duration burst_period = std::chrono::seconds(10);
    duration burst_length = std::chrono::seconds(1);
    std::uint64_t tasks_most = 230; //!< in one job
    duration task_least = std::chrono::milliseconds(50);
    duration task_most = std::chrono::seconds(1);
    duration tail_most = std::chrono::seconds(6);
    std::uint64_t tail_permille = 10; //!< tasks longer than task_most
    std::uint64_t customers = 12;
    std::uint64_t large_percent = 60; //!< jobs of the first customer
    duration time_limit = std::chrono::seconds(60);

    friend bool operator==(const arrival_shape&,
                           const arrival_shape&) = default;
};

//! What goes wrong; each is a share of the jobs in thousandths.
struct trouble_shape
{
    std::uint64_t wrong_size = 0;  //!< declared needs four times too large
    std::uint64_t wrong_time = 0;  //!< declared times ten times too small
    std::uint64_t impossible = 0;  //!< needs that no worker has
    std::uint64_t failing = 0;     //!< one task fails
    std::uint64_t straggling = 0;  //!< one task runs ten times as long
    std::uint64_t resubmitted = 0; //!< sent again through another entry
    duration resubmit_after = std::chrono::milliseconds(300);
    duration cancel_at{}; //!< start of a wave of cancellations; 0 for none
    duration cancel_length = std::chrono::seconds(2);
    std::uint64_t cancel_share = 0; //!< of the jobs that arrive in the wave
    duration cancel_after = std::chrono::milliseconds(200);

    friend bool operator==(const trouble_shape&,
                           const trouble_shape&) = default;
};

//! A failure domain that operators take out and bring back.
struct domain_change
{
    std::string domain; //!< empty for none
    duration out_at{};
    duration in_at{};

    friend bool operator==(const domain_change&,
                           const domain_change&) = default;
};

struct experiment_options
{
    std::string name;
    std::uint64_t seed = 1;
    duration round_trips = std::chrono::milliseconds(1); //!< of the ideal
    fleet_shape fleet;
    arrival_shape arrivals;
    trouble_shape trouble;
    domain_change change;

    friend bool operator==(const experiment_options&,
                           const experiment_options&) = default;
};

using experiment = immutable<experiment_options>;

//! Reads and checks an experiment.
//! @return it, or bad_settings with file, section and key.
process_result<experiment> parse_experiment(std::string_view text,
                                            const std::string& name);
process_result<experiment> load_experiment(const std::string& path);

} // namespace lagoonquay::load
