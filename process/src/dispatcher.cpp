#include "lagoonquay/process/dispatcher.hpp"

#include "lagoonquay/connection/message_link.hpp"

namespace lagoonquay
{

dispatcher::dispatcher(dispatcher_hooks hooks) : hooks_(std::move(hooks))
{
}

void dispatcher::enqueue(const queued_task& it)
{
    queue_.push(it);
}

// Several threads may pump at once. A credit that arrives between the look at
// the agents and the return of the task raises the epoch, so that the task is
// looked at again and no credit is left idle.
void dispatcher::pump()
{
    for (;;)
    {
        const auto epoch = credit_epoch_.load();
        const auto next = queue_.pop();
        if (!next)
            break;
        if (dispatch_one(*next) != step::no_room)
            continue;
        queue_.push_front(*next);
        if (epoch == credit_epoch_.load())
            break;
    }
    agents_.demand(static_cast<std::uint32_t>(queue_.size()));
}

void dispatcher::update(const agent_id& agent, const grant_message& grant,
                        instant now)
{
    agents_.update(agent, grant, now);
    ++credit_epoch_;
}

void dispatcher::release(const agent_id& agent)
{
    agents_.release(agent);
}

agent_table& dispatcher::agents() noexcept
{
    return agents_;
}

std::size_t dispatcher::queued() const noexcept
{
    return queue_.size();
}

std::uint64_t dispatcher::dispatched() const noexcept
{
    return dispatched_;
}

dispatcher::step dispatcher::dispatch_one(const queued_task& next)
{
    const auto work = hooks_.waiting(next.key);
    if (!work)
        return step::gone;
    const auto agent = hooks_.route(*work, agents_.candidates());
    if (!agent)
        return step::no_room;
    const auto credit = agents_.take(*agent);
    if (!credit)
        return step::no_room;
    auto message = hooks_.begin(next.key, *agent, *credit);
    if (!message)
    {
        agents_.untake(*agent);
        return step::gone;
    }
    ++dispatched_;
    credit->link->send(std::move(*message));
    return step::sent;
}

} // namespace lagoonquay
