//! Upstream that runs tasks on virtual time and records their starts.
#pragma once

#include "fake_network.hpp"
#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/connection/upstream_load.hpp"
#include "lagoonquay/request/start_guard.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoonquay
{

//! One start that an upstream saw.
struct seen_start
{
    task_key key;
    std::string agent;
    std::string domain;
    instant when{};

    friend bool operator==(const seen_start&, const seen_start&) = default;
};

//! The upstream of one agent. Not thread-safe.
class fake_upstream
{
public:
    using start_hook = std::function<void(const seen_start&)>;

    fake_upstream(fake_network& network, virtual_time& time, std::string agent,
                  std::string domain, start_hook on_start);

    //! Runs a call. The run's length is the payload in milliseconds; the
    //! payload "fail" fails at once.
    void call(const upstream_call& asked, const upstream_callback& done);

    //! @return the announcement of now.
    upstream_announcement announcement(std::uint32_t slots) const;
    std::uint32_t most_running() const noexcept;

private:
    fake_network& network_;
    virtual_time& time_;
    std::string agent_;
    std::string domain_;
    start_hook on_start_;
    upstream_load load_;
    std::uint32_t most_running_ = 0;
};

//! @return the answer that a task must have.
std::string expected_body(const task_key& key);

} // namespace lagoonquay
