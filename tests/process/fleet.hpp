//! A small fleet of the real programs on loopback addresses of its own.
#pragma once

#include "child_process.hpp"
#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/connection/http_message.hpp"
#include "lagoonquay/request/job.hpp"

#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonquay
{

class http_client;
class io_threads;

struct fleet_options
{
    std::size_t domains = 3;
    std::size_t controls = 3;
    std::size_t entries = 3;
    std::size_t agents = 3; //!< each with its upstream
    std::size_t slots = 8;  //!< of each upstream
};

//! One program of the fleet with its settings.
struct fleet_member
{
    std::string program;
    std::string id;
    std::vector<std::string> arguments;
    std::optional<child_process> process;
};

//! Starts of one task, as its upstream saw them.
struct start_count
{
    std::string submission;
    std::string index;
    std::size_t starts = 0;
};

//! Writes settings into a temporary folder and runs the programs. The
//! destructor kills what still runs. Not thread-safe, but for the answers.
class fleet
{
public:
    explicit fleet(const fleet_options& options = {});
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    //! Starts every program and waits until every entry is ready and every
    //! agent accepts work.
    void start();

    //! Starts one program again after it ended.
    void start(fleet_member& it);

    fleet_member& control(std::size_t n);
    fleet_member& entry(std::size_t n);
    fleet_member& agent(std::size_t n);
    fleet_member& upstream(std::size_t n);

    //! Listeners. Operators' listeners take the request without a token.
    endpoint callers(std::size_t entry) const;
    endpoint control_members(std::size_t control) const;
    endpoint control_operators(std::size_t control) const;
    endpoint entry_operators(std::size_t entry) const;
    endpoint agent_operators(std::size_t agent) const;

    //! @return the name of a failure domain, and that of an agent's.
    std::string domain(std::size_t n) const;
    std::string agent_domain(std::size_t agent) const;

    //! @return the data folder of a control replica.
    std::string data_folder(std::size_t control) const;

    //! Sends a request and waits. @return nothing if it failed.
    std::optional<http_response> send(const endpoint& target,
                                      const http_request& request);
    std::optional<http_response> get(const endpoint& target,
                                     const std::string& path);
    std::optional<http_response> post(const endpoint& target,
                                      const std::string& path,
                                      const std::string& body);

    //! Submits a job without waiting for its answer.
    std::future<std::optional<http_response>> submit(std::size_t entry,
                                                     const job& submitted);

    //! As submit(), and again while the entry says that it is overloaded.
    std::future<std::optional<http_response>>
    submit_until_taken(std::size_t entry, const job& submitted);

    //! @return the starts of every task so far.
    std::vector<start_count> starts() const;
    //! @return the most starts of any one task.
    std::size_t most_starts() const;
    //! @return all starts of a submission.
    std::size_t starts_of(const std::string& submission) const;

    //! Waits until `reached` is true. @return false after a minute.
    static bool eventually(const std::function<bool()>& reached);

private:
    std::string address(std::size_t role, std::size_t n) const;
    std::string control_list() const;
    std::string write_settings(const std::string& name,
                               const std::string& text) const;
    void add_control(std::size_t n);
    void add_entry(std::size_t n);
    void add_agent(std::size_t n);
    std::string common(const std::string& id, const std::string& domain_name,
                       const std::string& operators) const;
    bool ready();
    bool probe();

    fleet_options options_;
    std::size_t probes_ = 0;
    std::string folder_;
    std::vector<fleet_member> controls_;
    std::vector<fleet_member> entries_;
    std::vector<fleet_member> agents_;
    std::vector<fleet_member> upstreams_;
    std::unique_ptr<io_threads> io_;
    std::unique_ptr<http_client> client_;
};

//! @return a job of equal tasks, created now.
job make_job(const std::string& submission, std::size_t tasks,
             std::chrono::milliseconds run_time);

} // namespace lagoonquay
