//! Talks to the processes of a fleet as callers and operators do.
#pragma once

#include "lagoonquay/load/fleet_layout.hpp"
#include "lagoonquay/load/fleet_samples.hpp"
#include "lagoonquay/load/job_runner.hpp"

#include "lagoonquay/version/command.hpp"

#include <functional>
#include <string>
#include <vector>

namespace lagoonquay
{
class http_client;
}

namespace lagoonquay::load
{

//! Thread-safe; callbacks come from any I/O thread.
class fleet_client
{
public:
    fleet_client(http_client& client, fleet_layout layout);

    //! Submits a job and waits for its answer.
    void submit(std::size_t entry, const job& work, const reply_hook& done);
    void cancel(std::size_t entry, const submission_id& id);

    //! Takes a failure domain out of service or brings it back.
    //! @param id  of the command; the replicas drop resends of it.
    void set_domain_service(const std::string& domain, bool in_service,
                            const std::string& id);

    //! Replaces the fleet's settings.
    void set_fleet_settings(const std::string& settings, const std::string& id);

    //! Asks every agent for its state.
    void sample_agents(const std::function<void(agent_sample)>& each);

    //! Asks every entry for its counts. Blocks until all answered.
    entry_sample sum_entries();

    //! @return whether every entry takes jobs. Blocks until all answered.
    bool ready();

private:
    void send_command(const command& asked);

    http_client& client_;
    const fleet_layout layout_;
};

} // namespace lagoonquay::load
