//! The queues that callers may use and the services that run their tasks.
//! Lives for one version of the fleet's state.
#pragma once

#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/shared_immutable.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

using queue_id = text_id<struct queue_tag>;

//! Rises with each catalog that operators send; zero before the first.
using catalog_revision = number_id<struct catalog_tag>;

//! One queue: what its requests look like and how its jobs are treated.
struct job_queue
{
    queue_id id;
    std::string host;           //!< of the callers' requests, without a port
    std::string prefix;         //!< ends where the submission id begins
    service_id service;         //!< whose workers run the tasks
    duration time_limit{};      //!< from acceptance to the answer
    duration target{};          //!< of a job beyond its stretched work
    std::uint32_t priority = 0; //!< 0 goes first
    std::uint32_t max_attempts = 1; //!< failed runs of one task
    double stretch = 1; //!< of a job's longest chain of work, for its target

    friend bool operator==(const job_queue&, const job_queue&) = default;
};

//! The workers of one kind.
struct worker_service
{
    service_id id;
    bool guards_capacity = false; //!< its workers decline what does not fit

    friend bool operator==(const worker_service&,
                           const worker_service&) = default;
};

struct queue_catalog_options
{
    catalog_revision revision;
    std::vector<job_queue> queues;
    std::vector<worker_service> services;
    std::string source; //!< the operators' document, byte for byte

    friend bool operator==(const queue_catalog_options&,
                           const queue_catalog_options&) = default;
};

//! Every queue and service of one revision.
using queue_catalog = shared_immutable<queue_catalog_options>;

//! @return success, or bad_setting: a queue names no service of the catalog,
//!         has no time limit, or shares host and prefix with another.
version_result<void> check_catalog(const queue_catalog& it);

//! @return the queue of a request, the longest prefix first, or nullptr.
//! @param host  may end in a port, which is left out.
const job_queue* find_queue(const queue_catalog& it, std::string_view host,
                            std::string_view path) noexcept;

} // namespace lagoonquay
