//! What passes between an agent and its upstream.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/error.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! How an upstream presents itself; it repeats this as its heartbeat.
struct upstream_announcement
{
    endpoint address;        //!< where it takes tasks over HTTP
    std::uint32_t slots = 0; //!< tasks at once
    resources capacity;
    bool leaving = false;      //!< takes no new work
    std::uint32_t running = 0; //!< tasks that run now
    incarnation agent_run;     //!< the agent's run that called last, or zero
    std::uint32_t running_of_run = 0; //!< of `running`, those it called
    service_id service = {}; //!< takes only its tasks and those that name none

    friend bool operator==(const upstream_announcement&,
                           const upstream_announcement&) = default;
};

std::string encode_announcement(const upstream_announcement& it);
//! @return the announcement, or malformed / out_of_range.
request_result<upstream_announcement>
decode_announcement(std::string_view text);

//! One call of an upstream.
struct upstream_call
{
    endpoint address;
    submission_id submission;
    task_index index;
    attempt_number attempt;
    incarnation agent_run; //!< of the caller
    std::string payload;
    duration run_limit{};
    //! Time in which the caller may start the task again elsewhere after a
    //! result of unknown effect; zero if it never does.
    duration retry_window = duration::max();

    friend bool operator==(const upstream_call&,
                           const upstream_call&) = default;
};

//! @return how many running tasks an agent's run did not call itself.
std::uint32_t running_of_others(const upstream_announcement& it,
                                incarnation agent_run) noexcept;

//! Gets the task's result once, from any I/O thread.
using upstream_callback = std::function<void(task_result)>;

//! Calls an upstream. Thread-safe.
using upstream_hook =
    std::function<void(const upstream_call&, upstream_callback)>;

//! Stops one attempt of a task that was called; its result follows from the
//! call. Thread-safe.
using upstream_stop_hook =
    std::function<void(const submission_id&, task_index, attempt_number)>;

class http_client;

//! @return a hook that posts the payload to the upstream's /v1/tasks. An
//! answer that is not valid UTF-8, is cut or is over the client's limit is a
//! failed task. The client must outlive the hook.
upstream_hook call_over_http(http_client& client);

} // namespace lagoonquay
