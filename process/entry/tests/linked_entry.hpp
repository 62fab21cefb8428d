//! One entry on virtual time, with links to agents that the test plays itself.
#pragma once

#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/entry_service.hpp"
#include "virtual_time.hpp"

#include <memory>
#include <string>
#include <vector>

namespace lagoonquay
{

//! The entry's end of a link to an agent. Keeps what the entry sends.
class recorded_link : public message_link
{
public:
    explicit recorded_link(std::size_t agent_number) : agent(agent_number)
    {
    }

    void start(link_hooks hooks) override
    {
        hooks_ = std::move(hooks);
    }

    void send(link_message message) override
    {
        if (on_send)
            on_send(message);
        sent.push_back(std::move(message));
    }

    void close() override
    {
    }

    link_counts counts() const noexcept override
    {
        return {};
    }

    //! Delivers a message of the agent to the entry.
    void deliver(const link_message& message)
    {
        if (hooks_.on_messages)
            hooks_.on_messages({message});
    }

    //! Tells the entry that the link is closed.
    void end()
    {
        const auto ended = std::exchange(hooks_, {});
        if (ended.on_close)
            ended.on_close();
    }

    const std::size_t agent;
    std::vector<link_message> sent;
    std::function<void(const link_message&)> on_send;

private:
    link_hooks hooks_;
};

//! An entry whose claims are granted at once.
class linked_entry
{
public:
    explicit linked_entry(std::size_t agents = 1)
    {
        start();
        std::vector<member> members;
        for (std::size_t n = 0; n < agents; ++n)
            members.push_back(
                member({.id = name(n).text(), .capacity = {1000, 1000, 0}}));
        service_->learn(members, 1);
        tick();
    }

    static agent_id name(std::size_t agent)
    {
        return agent_id("agent-" + std::to_string(agent));
    }

    static incarnation run_of(std::size_t agent)
    {
        return incarnation(100 + agent);
    }

    static submission_id job_name()
    {
        return submission_id("s");
    }

    //! Opens a link to the agent, beside any other.
    std::shared_ptr<recorded_link> open(std::size_t agent)
    {
        const auto link = std::make_shared<recorded_link>(agent);
        link->on_send = [this, agent](const link_message& it)
        {
            if (const auto* sent = std::get_if<dispatch_message>(&it))
                dispatched_.push_back(sent->key);
            if (on_send)
                on_send(agent, it);
        };
        service_->agents().begin_link(name(agent));
        service_->on_link(name(agent), link);
        grant(link);
        return link;
    }

    void grant(const std::shared_ptr<recorded_link>& link)
    {
        grant_message it;
        it.agent = name(link->agent);
        it.agent_run = run_of(link->agent);
        it.agent_time = time_.now();
        it.credits_total = 1000;
        it.slots = 100;
        it.capacity = {100000, 100000, 0};
        it.accepting = true;
        link->deliver(it);
    }

    void close(const std::shared_ptr<recorded_link>& link)
    {
        link->end();
    }

    void submit(std::size_t tasks, std::uint32_t attempts)
    {
        const job work({.submission = job_name(),
                        .customer = customer_id("c"),
                        .created = wall(),
                        .attempts = attempts,
                        .time_limit = std::chrono::seconds(60),
                        .idempotent = true,
                        .tasks = std::vector<task>(tasks)});
        service_->submit(work, [this](const job_answer& it)
                         { answers_.push_back(it); });
    }

    void deliver(const std::shared_ptr<recorded_link>& link,
                 const link_message& message)
    {
        link->deliver(message);
    }

    //! @return a result of the attempt as an agent reports it.
    static result_message result(const attempt_key& key, failure_reason reason)
    {
        return {job_name(), key, end(key, reason), 0, 0, {}, {}, 0};
    }

    //! @return a status that names `reported`, after a query for `asked`.
    static status_message status(const attempt_key& reported,
                                 const attempt_key& asked, start_state state,
                                 failure_reason reason = failure_reason::none)
    {
        status_item it;
        it.index = reported.index;
        it.attempt = reported.attempt;
        it.forbidden = asked.attempt;
        it.state = state;
        if (state == start_state::finished)
            it.result = end(reported, reason);
        return {job_name(), reported.agent, reported.agent_run, {it}};
    }

    void run_for(duration span)
    {
        time_.run_until(time_.now() + span);
    }

    //! @return the attempts that the entry has dispatched, in their order.
    const std::vector<attempt_key>& dispatched() const noexcept
    {
        return dispatched_;
    }

    const std::vector<job_answer>& answers() const noexcept
    {
        return answers_;
    }

    entry_service& service() noexcept
    {
        return *service_;
    }

    virtual_time& time() noexcept
    {
        return time_;
    }

    std::uint64_t retries_asked = 0; //!< of the customer's retry budget

    //! Changes the outcome of each claim.
    std::function<void(claim_outcome_options&)> adjust_claim;
    //! Observes each message that the entry sends to an agent.
    std::function<void(std::size_t agent, const link_message&)> on_send;

private:
    static task_result end(const attempt_key& key, failure_reason reason)
    {
        const bool declined = reason == failure_reason::no_permit;
        const bool lost = reason == failure_reason::link_lost;
        return task_result({.index = key.index,
                            .reason = reason,
                            .ran = declined ? effect::not_run
                                   : lost   ? effect::unknown
                                            : effect::ran,
                            .body = "done",
                            .detail = {}});
    }

    wall_time wall() const
    {
        return wall_time(std::chrono::hours(400000)) +
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   time_.now().time_since_epoch());
    }

    void start()
    {
        entry_options options;
        options.id = entry_id("entry-0");
        options.run = incarnation(1);
        options.claim_lease = std::chrono::seconds(100);
        options.reconnect_timeout = std::chrono::seconds(1);
        // In the proportion of the product to its `reconnect_timeout`.
        options.orphan_run_time = options.reconnect_timeout * 3 / 8;
        service_ = std::make_unique<entry_service>(
            options, entry_hooks{.now = [this] { return time_.now(); },
                                 .wall = [this] { return wall(); },
                                 .claim = [this](const claim_request& asked,
                                                 const claim_callback& done)
                                 { claim(asked, done); },
                                 .forward = {},
                                 .cancel = {},
                                 .draw = [](std::uint64_t) { return 0U; },
                                 .retry =
                                     [this](const customer_id&)
                                 {
                                     return ++retries_asked > 0;
                                 }});
        permit_options endless;
        endless.valid_until = instant::max();
        service_->set_permit(permit(endless));
    }

    void claim(const claim_request& asked, const claim_callback& done)
    {
        time_.after(std::chrono::milliseconds(1),
                    [this, done, lease = asked->lease]
                    {
                        claim_outcome_options granted{
                            .status = claim_status::held,
                            .valid_until = time_.now() + lease,
                            .holder_address = {},
                            .round = claim_round(1),
                            .confirmed = true,
                            .first_claim_age = {},
                            .reach = {}};
                        if (adjust_claim)
                            adjust_claim(granted);
                        done(claim_outcome(std::move(granted)));
                    });
    }

    void tick()
    {
        service_->tick();
        time_.after(std::chrono::milliseconds(50), [this] { tick(); });
    }

    virtual_time time_;
    std::vector<attempt_key> dispatched_;
    std::vector<job_answer> answers_;
    std::unique_ptr<entry_service> service_;
};

} // namespace lagoonquay
