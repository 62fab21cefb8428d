//! The agents that an entry is linked to, in shards.
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
    instant agent_time{}; //!< the agent's clock as last heard
    instant heard{};      //!< when that was, on this process's clock
};

//! A dispatch that has no result yet.
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
    //! Learns the agents that this entry may use. One that is no longer named
    //! for a while is forgotten once nothing of this entry runs there.
    void learn(const std::vector<member>& agents, instant now);

    //! @return the agents that are known but not linked.
    std::vector<member> unlinked();

    //! Marks an agent as being linked, so that only one link is opened.
    void begin_link(const agent_id& agent);
    void open(const agent_id& agent, std::shared_ptr<message_link> link);
    void close(const agent_id& agent);

    //! Takes over what an agent says of itself.
    void update(const agent_id& agent, const grant_message& grant, instant now);

    //! @return every agent that has a credit and may get a task now.
    std::vector<route_candidate> candidates(instant now);

    //! @return one agent, if it has a credit and may get a task now.
    std::optional<route_candidate> candidate(const agent_id& agent,
                                             instant now);

    //! @return the agent whose worker holds the need and has most room left.
    std::optional<agent_id> best_fit(const resources& need, instant now);

    //! @return whether the agent's present incarnation takes tasks.
    bool accepts(const agent_id& agent);

    //! @return whether agents are known, and each has said since this table was
    //! made that it has no run of an entry that is gone.
    bool none_stray();

    //! @return slots that this entry uses or could use at once.
    std::uint32_t usable_slots();

    //! @return a resource of which no known worker has enough, if the need
    //! fits none of them; nothing when no worker is known.
    std::optional<std::string> misfit(const resources& need);

    //! Takes one credit, unless the agent may get no task now.
    std::optional<taken_credit> take(const agent_id& agent, instant now);
    //! Gives back a credit that was taken and not used.
    void untake(const agent_id& agent);
    //! Records the dispatch that used a credit.
    void begin(const taken_credit& credit, const dispatch_message& message,
               open_dispatch about);
    //! Ends one dispatch and takes over the credit that came back with it.
    //! @return the dispatch, unless it has ended before.
    std::optional<open_dispatch> release(const agent_id& agent,
                                         const result_message& result);

    //! Notes how a started task of the agent ended.
    void observe(const agent_id& agent, bool success, instant now);

    //! Notes that a task ran this many times as long as expected.
    void observe_run(const agent_id& agent, double ratio);

    //! Replaces the limits of quarantine and slow start.
    void set_health_options(const agent_health_options& options);

    //! Sends a message to a linked agent; drops it otherwise.
    void send(const agent_id& agent, link_message message);

    //! @return whether some agent has a credit.
    bool any_credit() const noexcept;

    //! @return agents that are set aside or on probation.
    std::size_t suspects();

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
        member about;
        std::shared_ptr<message_link> link;
        bool linking = false;
        instant named{}; //!< when it was last learned
        credit_account credits;
        std::optional<grant_message> last;
        instant heard{};
        agent_health health;
        resources reserved;
        std::map<open_key, open_dispatch> open;
        std::uint32_t outstanding = 0; //!< includes credits just taken
        unheard_dispatches unheard;
        std::uint32_t others = 0; //!< tasks of other entries, as last heard
        resources others_need;    //!< of these
        //! It has said that it has no run of an entry that is gone. What
        //! becomes stray later belongs to an entry that lived until then.
        bool without_strays = false;
    };

    void clear(entry& it);
    static std::optional<route_candidate>
    describe(const agent_id& id, entry& it, const agent_health_options& options,
             instant now);
    static void note_load(entry& it, const resources& used,
                          std::uint64_t dispatches_total);
    void forget_unnamed(instant now);
    template <typename Edit>
    auto change_credits(entry& it, Edit edit);
    agent_health_options health_options() const;

    sharded_map<agent_id, entry> agents_;
    std::atomic<std::int64_t> credits_{0}; //!< sum of the free credits
    mutable std::mutex health_mutex_;
    agent_health_options health_options_;
};

} // namespace lagoonquay
