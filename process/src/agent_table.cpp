#include "lagoonquay/process/agent_table.hpp"

#include "lagoonquay/connection/message_link.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! A message and the link it goes out on, once no lock is held.
struct outgoing
{
    std::shared_ptr<message_link> link;
    demand_message message;
};

void send_all(const std::vector<outgoing>& messages)
{
    for (const auto& it : messages)
        it.link->send(it.message);
}

} // namespace

void agent_table::learn(const std::vector<member>& agents)
{
    for (const auto& it : agents)
    {
        const agent_id id(it->id);
        agents_.with_shard(id, [&](auto& values) { values[id].about = it; });
    }
}

std::vector<member> agent_table::unlinked()
{
    std::vector<member> found;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                if (it.link || it.linking)
                    continue;
                found.push_back(it.about);
            }
        });
    return found;
}

void agent_table::begin_link(const agent_id& agent)
{
    agents_.with_shard(agent,
                       [&](auto& values) { values[agent].linking = true; });
}

void agent_table::open(const agent_id& agent,
                       std::shared_ptr<message_link> link)
{
    agents_.with_shard(agent,
                       [&](auto& values)
                       {
                           auto& it = values[agent];
                           it.link = std::move(link);
                           it.credits = credit_account();
                           it.last.reset();
                           it.outstanding = 0;
                           it.told = 0;
                       });
}

void agent_table::close(const agent_id& agent)
{
    agents_.with_shard(agent,
                       [&](auto& values)
                       {
                           auto& it = values[agent];
                           it.link.reset();
                           it.linking = false;
                           it.last.reset();
                           it.outstanding = 0;
                       });
}

void agent_table::update(const agent_id& agent, const grant_message& grant,
                         instant now)
{
    std::vector<outgoing> replies;
    agents_.with_shard(
        agent,
        [&](auto& values)
        {
            auto& it = values[agent];
            it.credits.update(grant.credits_total, grant.recalled_total);
            it.last = grant;
            it.heard = now;
            if (!it.link || !it.credits.give_back())
                return;
            replies.push_back(
                {it.link, {it.told, it.credits.returned_total()}});
        });
    send_all(replies);
}

std::vector<route_candidate> agent_table::candidates()
{
    std::vector<route_candidate> found;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
            {
                if (!it.link || !it.last || !it.last->accepting)
                    continue;
                found.push_back({id, it.about->domain, it.credits.available(),
                                 it.outstanding, it.last->slots,
                                 it.last->capacity});
            }
        });
    return found;
}

bool agent_table::can_fit(const resources& need)
{
    bool found = false;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
                found = found || fits(need, it.about->capacity);
        });
    return found;
}

std::optional<taken_credit> agent_table::take(const agent_id& agent)
{
    return agents_.with(
        agent,
        [](entry* it) -> std::optional<taken_credit>
        {
            if (it == nullptr || !it->link || !it->last || !it->credits.take())
                return std::nullopt;
            ++it->outstanding;
            return taken_credit{it->link, it->last->agent_run,
                                it->last->agent_time, it->heard};
        });
}

void agent_table::untake(const agent_id& agent)
{
    agents_.with(agent,
                 [](entry* it)
                 {
                     if (it == nullptr || it->outstanding == 0)
                         return;
                     --it->outstanding;
                     it->credits.untake();
                 });
}

void agent_table::release(const agent_id& agent)
{
    agents_.with(agent,
                 [](entry* it)
                 {
                     if (it != nullptr && it->outstanding > 0)
                         --it->outstanding;
                 });
}

void agent_table::send(const agent_id& agent, link_message message)
{
    std::shared_ptr<message_link> link;
    agents_.with(agent,
                 [&](entry* it)
                 {
                     if (it != nullptr)
                         link = it->link;
                 });
    if (link)
        link->send(std::move(message));
}

void agent_table::demand(std::uint32_t wanted)
{
    std::vector<outgoing> messages;
    agents_.for_each_shard(
        [&](auto& values)
        {
            for (auto& [id, it] : values)
            {
                if (!it.link || !it.last)
                    continue;
                const auto share = std::min(wanted, it.last->slots);
                if (it.told == share)
                    continue;
                it.told = share;
                messages.push_back(
                    {it.link, {share, it.credits.returned_total()}});
            }
        });
    send_all(messages);
}

std::size_t agent_table::size()
{
    return agents_.size();
}

} // namespace lagoonquay
