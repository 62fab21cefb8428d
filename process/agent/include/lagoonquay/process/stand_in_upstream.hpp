//! Stand-in upstream for tests and the quickstart: each payload sets the
//! duration and the outcome of its task.
#pragma once

#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/connection/upstream_load.hpp"
#include "lagoonquay/request/time.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lagoonquay
{

//! Records one line for each started task. Thread-safe.
using start_record_hook = std::function<void(const std::string& line)>;

//! Serves POST /v1/tasks/N. The payload is JSON: {"run_ms": 50,
//! "fail": false, "hang": false}; every member may be left out, and any other
//! payload runs for 50 ms. Thread-safe.
class stand_in_upstream
{
public:
    stand_in_upstream(delay_hook delay, start_record_hook record);

    //! @return the routes; this object must outlive the handler.
    http_handler routes();

    std::uint64_t started() const noexcept;
    const upstream_load& load() const noexcept;
    //! @return the number of tasks with "hang" set, which get no response.
    std::uint64_t hung() const noexcept;

private:
    void run(const http_request& request, const http_responder& respond);

    delay_hook delay_;
    start_record_hook record_;
    std::atomic<std::uint64_t> started_{0};
    upstream_load load_;
    std::atomic<std::uint64_t> hung_{0};
};

} // namespace lagoonquay
