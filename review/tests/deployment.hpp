//! A small deployment of the project's programs, with workers and clients.
#pragma once

#include "channel.hpp"
#include "child_process.hpp"
#include "record.hpp"
#include "relay.hpp"
#include "worker.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lagoonquay::review
{

//! The case can't run here.
class cannot_run : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

//! A queue of the manifest, and the service that its tasks are for.
struct queue
{
    std::string name;
    std::string service;
};

struct answer
{
    unsigned status = 0; //!< 0 if none came
    std::string body;
};

//! Five replicas of control, three entries, and an agent beside each worker.
class deployment
{
public:
    //! @param relays  whether a proxy stands before each machine for each other
    //! one, so that the zone of entry 1 and worker 1 can be cut off.
    deployment(record& log, std::size_t workers, std::chrono::milliseconds work,
               bool relays = false);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    //! Sends the manifest until it is acknowledged.
    void publish(unsigned version, const std::vector<queue>& queues);

    //! Waits until every entry is ready and every worker has run a task.
    void become_ready(const std::string& queue);

    //! Cuts zone 1 off from the others: open connections are reset, new ones
    //! refused. Clients still reach it.
    void cut_zone();
    //! Lets nothing pass between zones 1 and 2, without a word to either;
    //! others reach both.
    void cut_bridge();
    void heal();

    //! @return tasks of which two runs went on at the same time.
    std::vector<std::string> doubled();

    endpoint entry_address(std::size_t entry) const;
    child_process& entry(std::size_t entry);
    sound_worker& worker(std::size_t n);
    std::size_t workers() const;

    //! One request of a client; waits for its answer.
    answer call(std::size_t entry, http_method method, const std::string& path,
                const std::string& body = {},
                std::chrono::milliseconds limit = std::chrono::seconds(2));

    //! Submits a job and waits for its answer.
    answer post(std::size_t entry, const std::string& queue,
                const std::string& job, int tasks,
                std::chrono::milliseconds limit);

    //! Submits a job on a channel of its own.
    std::unique_ptr<channel> submit(std::size_t entry, const std::string& queue,
                                    const std::string& job, int tasks,
                                    std::chrono::milliseconds limit);

    //! @return starts of all workers for the job.
    std::vector<started_task> starts_of(const std::string& job);

    //! @return tasks of the job that run at this moment.
    std::vector<std::string> running_of(const std::string& job);

    //! Sets how long each task works that starts from now on, and the estimate
    //! that clients give.
    void set_work(std::chrono::milliseconds work,
                  std::chrono::milliseconds estimate);

private:
    void start(std::size_t workers);
    void stop();
    std::string at(int host, int port) const;
    void run(const std::string& role, const std::string& id, int host);
    void add_relays(int viewer, const std::string& view);
    answer send(const std::string& to, http_method method,
                const std::string& path, const std::string& body,
                std::chrono::milliseconds limit);

    record& log_;
    std::chrono::milliseconds estimate_;
    const std::string net_;
    const std::string folder_;
    const bool has_relays_;
    io_threads relay_io_{1};
    std::vector<std::unique_ptr<relay>> relays_;
    std::vector<relay*> crossing_; //!< those between zone 1 and another
    std::vector<relay*> bridging_; //!< those of them between zones 1 and 2
    io_threads io_{2};
    http_client client_{io_.context(), {}};
    std::vector<std::unique_ptr<sound_worker>> workers_;
    std::vector<child_process> processes_;
    std::vector<std::size_t> entries_; //!< places in processes_
};

//! @return whether it became true within the time.
bool within(std::chrono::milliseconds time, const std::function<bool()>& is);

void pause(std::chrono::milliseconds time);

} // namespace lagoonquay::review
