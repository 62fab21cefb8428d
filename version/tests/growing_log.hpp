//! Replicas in one place whose disks sync at once, to which others are added.
#pragma once

#include "lagoonquay/version/replica.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Messages are handed over at once.
class growing_log : public testing::Test
{
protected:
    static replica_member member_of(const std::string& name)
    {
        return {node_id(name + ".1"), replica_id(name), name + ":1", false};
    }

    void add(const std::string& name)
    {
        replica_options options;
        options.self = member_of(name).node;
        options.voters = wanted;
        options.replace_ticks = replace_ticks;
        unsigned drawn = draws++;
        all.emplace(name, replica(options,
                                  {[drawn](std::uint32_t bound)
                                   {
                                       return drawn % bound;
                                   }},
                                  stored_log()));
    }

    void bootstrap(const std::vector<std::string>& names)
    {
        membership_options first;
        for (const auto& it : names)
        {
            first.members.push_back(member_of(it));
            first.members.back().voter = true;
        }
        for (const auto& it : names)
        {
            add(it);
            all.at(it).bootstrap(cluster_number(1), membership(first));
        }
    }

    void step()
    {
        for (auto& [name, it] : all)
            it.tick();
        for (int n = 0; n < 8; ++n)
            exchange();
    }

    void steps(int count)
    {
        for (int n = 0; n < count; ++n)
            step();
    }

    void exchange()
    {
        std::vector<replica_message> messages;
        for (auto& [name, it] : all)
        {
            const auto output = it.take_output();
            if (output.write)
                it.stored(output.write->sequence);
            for (const auto& each : output.messages)
                messages.push_back(each.message);
        }
        for (const auto& it : messages)
        {
            for (auto& [name, to] : all)
                to.receive(it);
        }
    }

    replica* leader()
    {
        for (auto& [name, it] : all)
        {
            if (it.leads())
                return &it;
        }
        return nullptr;
    }

    void ask_to_join(const std::string& name)
    {
        if (auto* it = leader())
            it->on_join(member_of(name));
    }

    std::size_t voters()
    {
        std::size_t n = 0;
        for (const auto& it : leader()->log().members()->members)
            n += it.voter ? 1 : 0;
        return n;
    }

    bool has(const std::string& name)
    {
        return find_name(leader()->log().members(), replica_id(name)) !=
               nullptr;
    }

    static constexpr std::size_t wanted = 5;

    std::uint32_t replace_ticks = 30;
    std::map<std::string, replica> all;
    unsigned draws = 0;
};

} // namespace lagoonquay
