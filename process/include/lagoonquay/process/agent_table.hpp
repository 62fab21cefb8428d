//! The agents that an entry is linked to, in shards.
#pragma once

#include "lagoonquay/connection/credit_account.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/version/member.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace lagoonquay
{

class message_link;

//! A credit taken for one dispatch.
struct taken_credit
{
    std::shared_ptr<message_link> link;
    incarnation agent_run;
    instant agent_time{}; //!< the agent's clock as last heard
    instant heard{};      //!< when that was, on this process's clock
};

//! Links and credits per agent. Thread-safe.
class agent_table
{
public:
    //! Learns the agents of the fleet from control.
    void learn(const std::vector<member>& agents);

    //! @return the agents that are known but not linked.
    std::vector<member> unlinked();

    //! Marks an agent as being linked, so that only one link is opened.
    void begin_link(const agent_id& agent);
    void open(const agent_id& agent, std::shared_ptr<message_link> link);
    void close(const agent_id& agent);

    //! Takes over what an agent says of itself.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! @return every accepting agent.
    std::vector<route_candidate> candidates();

    //! @return whether some known agent is large enough for the need.
    bool can_fit(const resources& need);

    //! Takes one credit.
    std::optional<taken_credit> take(const agent_id& agent);
    //! Gives back a credit that was taken and not used.
    void untake(const agent_id& agent);
    //! Ends one dispatch.
    void release(const agent_id& agent);

    //! Sends a message to a linked agent; drops it otherwise.
    void send(const agent_id& agent, link_message message);

    //! Tells every agent how many tasks wait, where that changed.
    void demand(std::uint32_t wanted);

    std::size_t size();

private:
    struct entry
    {
        member about;
        std::shared_ptr<message_link> link;
        bool linking = false;
        credit_account credits;
        std::optional<grant_message> last;
        instant heard{};
        std::uint32_t outstanding = 0;
        std::uint32_t told = 0;
    };

    sharded_map<agent_id, entry> agents_;
};

} // namespace lagoonquay
