//! Entries and agents on virtual time, for measuring decisions.
#pragma once

#include "lagoonquay/connection/agent_slots.hpp"
#include "lagoonquay/connection/grant_pacing.hpp"
#include "lagoonquay/process/dispatcher.hpp"
#include "lagoonquay/process/job_admission.hpp"
#include "lagoonquay/process/live_settings.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Events in order of their time.
class virtual_clock
{
public:
    instant now() const noexcept;
    void after(duration delay, std::function<void()> run);
    //! Runs every event up to `end`.
    void run_until(instant end);

private:
    struct event
    {
        instant at{};
        std::uint64_t order = 0;
        std::function<void()> run;
    };
    struct later
    {
        bool operator()(const event& left, const event& right) const noexcept;
    };

    instant now_{std::chrono::seconds(1)};
    std::uint64_t next_ = 0;
    std::priority_queue<event, std::vector<event>, later> events_;
};

struct bench_options
{
    std::uint32_t entries = 3;
    std::uint32_t agents = 11;
    std::uint32_t slots = 8;
    std::uint32_t domains = 3;
    std::uint32_t subset = 1024; //!< most agents that an entry links to
    duration one_way = std::chrono::microseconds(1500);
    bool admission = true; //!< false takes every job
    std::string settings;  //!< of the fleet, as INI
    std::uint64_t seed = 1;
};

struct bench_job
{
    customer_id customer;
    std::vector<duration> runs;     //!< true run times
    std::vector<duration> declared; //!< as the caller says
    std::vector<std::string> kinds;
    duration time_limit = std::chrono::seconds(30);
};

//! What became of one job.
struct bench_outcome
{
    customer_id customer;
    duration response{};
    duration ideal{};
    bool refused = false;
    std::uint32_t failed_tasks = 0;
    std::uint32_t moves = 0;
};

struct bench_counts
{
    std::uint64_t dispatches = 0;
    std::uint64_t results = 0;
    std::uint64_t grants = 0;
    std::uint64_t declined = 0;
    duration work_done{};
    std::uint32_t most_running = 0; //!< at one agent
};

//! Not thread-safe.
class bench_fleet
{
public:
    explicit bench_fleet(bench_options options);
    ~bench_fleet();
    bench_fleet(const bench_fleet&) = delete;
    bench_fleet& operator=(const bench_fleet&) = delete;

    virtual_clock& clock() noexcept;
    void submit(const bench_job& asked);
    //! Lets an agent fail every task after 5 ms.
    void set_failing(std::size_t agent, bool failing);
    //! Takes a failure domain out or brings it back.
    void set_domain(std::uint32_t domain, bool in_service);

    const std::vector<bench_outcome>& outcomes() const noexcept;
    const bench_counts& counts() const noexcept;
    std::size_t unfinished() const noexcept;

private:
    struct entry_side;
    struct agent_side;

    void deliver_to_agent(std::size_t agent, std::size_t entry,
                          const link_message& message);
    void deliver_to_entry(std::size_t entry, std::size_t agent,
                          const link_message& message);
    void on_dispatch(std::size_t agent, std::size_t entry,
                     const dispatch_message& message);
    void start_next(std::size_t agent);
    void on_end(std::size_t agent, const waiting_start& begun, duration ran);
    void reply(std::size_t agent, std::size_t entry,
               const dispatch_message& message, failure_reason reason,
               std::uint64_t credits, duration ran);
    void send_changed(std::size_t agent);
    void send_grant(std::size_t agent, const link_grant& totals, bool if_due);
    void link(std::size_t entry, const std::vector<member>& members);
    void send_grants_if_due();
    void on_result(std::size_t entry, std::size_t agent,
                   const result_message& message);
    void tick();
    void return_overdue_tasks();

    const bench_options options_;
    virtual_clock clock_;
    std::vector<std::unique_ptr<entry_side>> entries_;
    std::vector<std::unique_ptr<agent_side>> agents_;
    std::vector<bench_outcome> outcomes_;
    bench_counts counts_;
    std::uint64_t next_job_ = 0;
    std::size_t unfinished_ = 0;
};

} // namespace lagoonquay
