//! The real services of a small fleet over fakes on virtual time.
#pragma once

#include "fake_link.hpp"
#include "fake_network.hpp"
#include "fake_upstream.hpp"
#include "lagoonquay/process/agent_service.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "virtual_time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

struct fake_fleet_options
{
    std::size_t domains = 3;
    std::size_t entries = 3; //!< each with a ledger replica
    std::size_t agents = 3;
    std::uint32_t slots = 2;

    friend bool operator==(const fake_fleet_options&,
                           const fake_fleet_options&) = default;
};

//! A replica of control as far as permits need it.
struct fake_control
{
    std::string name;
    fleet_view view;
    std::set<domain_id> pending_out;
};

//! Entries, agents and control replicas by the names entry-1, agent-1,
//! control-1 and so on, in the failure domains south-1 and so on.
//! Not thread-safe.
class fake_fleet
{
public:
    using event_hook = std::function<void(const std::string&)>;

    fake_fleet(const fake_fleet_options& options, event_hook on_event,
               const fake_upstream::start_hook& on_start);
    ~fake_fleet();
    fake_fleet(const fake_fleet&) = delete;
    fake_fleet& operator=(const fake_fleet&) = delete;

    void advance(duration span);
    instant now() const noexcept;
    wall_time wall() const noexcept;
    fake_network& network() noexcept;

    //! Hands a job to an entry over the network. A dead or frozen entry does
    //! not answer.
    void submit(const std::string& entry, const job& submitted,
                const answer_hook& done);
    void cancel(const std::string& entry, const submission_id& submission);

    void kill(const std::string& node);
    void restart(const std::string& node);
    void freeze(const std::string& node);
    void thaw(const std::string& node);
    void drain(const std::string& node);

    //! Commits a change at a majority of the control replicas; the last one
    //! lags behind until catch_up().
    void set_domain_state(const domain_id& domain, bool in_service);
    //! Leaves an "out" pending at one replica, as an isolated leader would.
    void leave_pending_out(const std::string& control, const domain_id& domain);
    void catch_up();

    //! @return the most tasks that any upstream ran at once.
    std::uint32_t most_running() const noexcept;

    //! @return whether the name is a node of this fleet.
    bool knows(const std::string& node) const;

private:
    struct agent_node;
    struct entry_node;

    void build_agent(agent_node& it);
    void build_entry(entry_node& it);
    void schedule_ticks(const std::string& name, duration period,
                        const std::function<void()>& work);
    void start_agent_ticks(agent_node& it);
    void start_entry_ticks(entry_node& it);
    void link_agents(entry_node& it);
    void open_link_to(entry_node& from, agent_node& to);
    void watch_links();
    void close_links_of(const std::string& node);
    void ask_permit(const std::string& node,
                    const std::function<fleet_view()>& known,
                    const std::function<void(const permit&)>& set_permit);
    claim_hook claim_from(const std::string& entry);
    forward_hook forward_from(const std::string& entry);
    std::vector<member> known_agents() const;

    fake_fleet_options options_;
    event_hook on_event_;
    virtual_time time_;
    fake_network network_;
    std::map<std::string, std::unique_ptr<agent_node>> agents_;
    std::map<std::string, std::unique_ptr<entry_node>> entries_;
    std::vector<fake_control> controls_;
    std::vector<std::shared_ptr<fake_link>> links_;
    std::map<std::string, duration> silent_;
    std::uint64_t next_run_ = 1;
    std::vector<std::shared_ptr<void>> retired_;
};

} // namespace lagoonquay
