//! The agents of an entry with their links, credits and health, in shards.
#pragma once

#include "lagoonquay/connection/credit_account.hpp"
#include "lagoonquay/connection/unheard_dispatches.hpp"
#include "lagoonquay/process/agent_health.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/request/start_guard.hpp"
#include "lagoonquay/version/member.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
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
    instant agent_time{}; //!< the agent's clock in its last grant
    instant
        grant_received_at{};  //!< when that grant came, on this process's clock
    duration late_run_time{}; //!< see grant_message
};

//! @return `last` on the agent's clock. That clock was at least `agent_time`
//! when its message arrived, so the result is never later than `last`.
inline instant to_agent_time(const taken_credit& credit, instant last) noexcept
{
    return credit.agent_time + (last - credit.grant_received_at);
}

//! A dispatch that is in flight: it has no result yet.
struct open_dispatch
{
    customer_id customer;
    std::string kind;
    resources need;

    friend bool operator==(const open_dispatch&,
                           const open_dispatch&) = default;
};

//! Links, credits and health per agent. Thread-safe.
class agent_table
{
public:
    //! Adds or updates the agents that this entry may use. An agent that has
    //! not been listed for 30 s is removed once no task of this entry is in
    //! flight there.
    void learn(const std::vector<member>& agents, instant now);

    //! @return the agents that have neither an open link nor one being opened.
    std::vector<member> unlinked();

    //! Marks the agent's link as being opened, so that no second one is.
    void begin_link(const agent_id& agent);
    void open(const agent_id& agent, std::shared_ptr<message_link> link);
    void close(const agent_id& agent);
    //! Closes as close() does, unless another link was opened since.
    //! @return whether `closed` was the agent's link.
    bool close(const agent_id& agent, const message_link* closed);

    //! Records the credits, load and capacity in an agent's grant. A draining
    //! agent gets its unused credits back.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! @return every agent that has a credit and whose health allows a task
    //! now.
    std::vector<route_candidate> candidates(instant now);

    //! @return the agent; nothing if it is unknown, has no credit or its health
    //! allows no task now.
    std::optional<route_candidate> candidate(const agent_id& agent,
                                             instant now);

    //! @return of the agents whose health allows tasks and whose total capacity
    //! covers the need and whose worker serves the task, with or without a
    //! credit, the one where this entry's own tasks leave most free; nothing if
    //! there is none.
    std::optional<agent_id> best_fit(const route_request& asked, instant now);

    //! @return whether the agent is linked and its last grant on this link
    //! accepts tasks.
    bool accepts(const agent_id& agent);

    //! @return whether learn() has listed the agent lately.
    bool knows(const agent_id& agent);

    //! @return whether this process of the agent has told that it is drained.
    bool has_drained(const agent_id& agent, incarnation run);

    //! @return the longest `late_run_time` that an agent has told of; nothing
    //! before the first grant.
    std::optional<duration> late_run_time() const noexcept;

    //! @return whether at least one agent is known and each known one has
    //! reported, at some time since this table was made, that it has no stray
    //! run: a run of an entry that is gone.
    bool no_stray_runs();

    //! @param service  whose workers count; empty for all.
    //! @return slots that this entry uses or holds credits for, over the linked
    //! agents that accept tasks and whose worker serves the service.
    std::uint32_t usable_slots(const service_id& service = {});

    //! @param service  whose workers count; empty for all.
    //! @return the name of a resource that the need exceeds, if it fits the
    //! capacity of no known worker; nothing if it fits one, if a worker's
    //! capacity or service is unknown or if no worker is known.
    std::optional<std::string>
    unsatisfiable_resource(const resources& need,
                           const service_id& service = {});

    //! @return whether the last grant of some linked agent was for a worker
    //! that may run tasks for the service.
    bool has_worker_of(const service_id& service);

    //! Takes one credit for a dispatch.
    //! @return nothing if the agent is not linked, has no credit or its health
    //! allows no further task now.
    std::optional<taken_credit> take(const agent_id& agent, instant now);
    //! Undoes a take() whose credit was not used.
    void undo_take(const agent_id& agent);
    //! Records the dispatch that used a credit, unless the link has been
    //! replaced or closed since.
    void begin(const taken_credit& credit, const dispatch_message& message,
               open_dispatch opened);
    //! Ends one dispatch and records the credits and load in its result.
    //! @return the dispatch; nothing if it is not in flight, as after a
    //! duplicate result.
    std::optional<open_dispatch> release(const agent_id& agent,
                                         const result_message& result);

    //! Records whether a started task of the agent succeeded.
    void observe(const agent_id& agent, bool success, instant now);

    //! Records the ratio of a task's measured to its expected run time.
    void observe_run(const agent_id& agent, double ratio);

    //! Replaces the limits of quarantine and slow start.
    void set_health_options(const agent_health_options& options);

    //! Sends a message to a linked agent; drops it if there is no link.
    void send(const agent_id& agent, link_message message);

    //! @return whether any agent has a free credit.
    bool any_credit() const noexcept;

    //! @return the number of agents in quarantine or on probation.
    std::size_t suspect_count();

    std::size_t size();

private:
    struct open_key
    {
        task_key task;
        attempt_number attempt;

        friend auto operator<=>(const open_key&, const open_key&) = default;
    };
    struct entry
    {
        member description;
        std::shared_ptr<message_link> link;
        bool linking = false;
        instant last_listed{}; //!< when learn() last listed it
        credit_account credits;
        std::optional<grant_message> last;
        instant grant_received_at{};
        agent_health health;
        resources dispatched_need;
        std::map<open_key, open_dispatch> open;
        //! Dispatches in flight and credits taken without a dispatch yet.
        std::uint32_t outstanding = 0;
        unheard_dispatches unconfirmed;
        //! Tasks of other entries, as last reported, and their resources.
        std::uint32_t other_tasks = 0;
        resources other_tasks_need;
        std::optional<incarnation> drained_run; //!< that told so last
        //! It has reported that it has no stray run. A run that becomes stray
        //! later belongs to an entry that was alive until then.
        bool has_no_stray_runs = false;
    };

    void reset_link_state(entry& agent);
    static std::optional<route_candidate>
    describe(const agent_id& id, entry& agent,
             const agent_health_options& options, instant now);
    static void update_other_load(entry& agent, const resources& used,
                                  std::uint64_t dispatches_total);
    void remove_unlisted(instant now);
    void note_late_run_time(duration told) noexcept;
    template <typename Edit>
    auto change_credits(entry& agent, Edit edit);
    agent_health_options health_options() const;

    sharded_map<agent_id, entry> agents_;
    std::atomic<std::int64_t> credits_{0}; //!< free credits of all agents
    //! In microseconds; negative before the first grant.
    std::atomic<duration::rep> late_run_time_{-1};
    mutable std::mutex health_mutex_;
    agent_health_options health_options_;
};

} // namespace lagoonquay
