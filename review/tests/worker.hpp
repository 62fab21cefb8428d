//! A sound worker of the platform: fences, leases, runs and ends as its pages
//! say.
#pragma once

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "record.hpp"

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay::review
{

struct worker_options
{
    std::string id;
    std::string service;
    std::string zone;
    endpoint own;
    endpoint agent;
    std::chrono::milliseconds work{900}; //!< of each task, at first
};

//! A start that the worker carried out.
struct started_task
{
    std::int64_t at = 0;    //!< milliseconds of the record
    std::int64_t ended = 0; //!< likewise; 0 while it runs
    std::string task;       //!< as the platform names it
    std::string service;
};

//! Thread-safe.
class sound_worker
{
public:
    sound_worker(io_threads& io, http_client& client, record& log,
                 worker_options options);

    std::vector<started_task> starts();

    //! Sets how long each task works that starts from now on.
    void set_work(std::chrono::milliseconds work);

    //! @return the tasks that run now.
    std::vector<std::string> running();

private:
    struct run
    {
        std::uint64_t number = 0;
        std::int64_t began = 0;
        std::int64_t work = 0;                //!< milliseconds
        std::optional<std::int64_t> stops_at; //!< while it is being stopped
    };

    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    std::int64_t clock() const;
    void serve(const http_request& request, const http_responder& respond);
    http_response start(const boost::json::object& order);
    http_response stop(const boost::json::object& order);
    void hold(const boost::json::object& order, const http_responder& respond);
    void answer_hold(std::int64_t until, const http_responder& respond);
    bool fenced(const boost::json::object& order);
    void extend(const boost::json::object& order);
    void advance();
    void end(const std::string& task, std::uint64_t number,
             const std::string& how);
    http_response reply(unsigned status, const std::string& reason = {});
    http_response lists();
    void send_report();

    io_threads& io_;
    http_client& client_;
    record& log_;
    const worker_options options_;
    std::chrono::milliseconds work_;
    const std::int64_t born_;
    const std::chrono::steady_clock::time_point began_ =
        std::chrono::steady_clock::now();

    std::mutex mutex_;
    std::map<std::string, run> runs_;
    std::map<std::string, std::uint64_t> over_; //!< highest run that ended
    std::deque<ended_run> ended_;
    std::uint64_t ends_ = 0;
    std::uint64_t token_ = 0;
    std::uint64_t sequence_ = 0;
    std::int64_t lease_ = 0;
    std::vector<started_task> starts_;
    std::optional<http_server> server_;
};

} // namespace lagoonquay::review
