//! Network between named nodes that loses, delays, doubles and cuts.
#pragma once

#include "virtual_time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace lagoonquay
{

//! An unordered pair of nodes.
struct node_pair
{
    node_pair(const std::string& left, const std::string& right);

    std::string first;
    std::string second;

    friend auto operator<=>(const node_pair&, const node_pair&) = default;
};

//! Nodes and what passes between them. Not thread-safe.
class fake_network
{
public:
    explicit fake_network(virtual_time& time);

    //! Sends `arrive` from one node to another under the rules in force.
    void send(const std::string& from, const std::string& to,
              std::function<void()> arrive);

    //! Runs `work` at a node after a delay, unless the node dies; a frozen
    //! node runs it when it is thawed.
    void at_node(const std::string& node, duration delay,
                 std::function<void()> work);

    void cut(const node_pair& pair);
    void heal(const node_pair& pair);
    bool is_cut(const node_pair& pair) const;
    void delay(const node_pair& pair, duration extra);
    void drop_next(const node_pair& pair, std::uint32_t count);
    void duplicate_next(const node_pair& pair, std::uint32_t count);

    void kill(const std::string& node);
    void restart(const std::string& node);
    void freeze(const std::string& node);
    void thaw(const std::string& node);
    bool alive(const std::string& node) const;
    bool frozen(const std::string& node) const;
    //! @return the number of restarts of the node.
    std::uint64_t life(const std::string& node) const;

private:
    struct node_state
    {
        bool alive = true;
        bool frozen = false;
        std::uint64_t life = 1;
        std::deque<std::function<void()>> deferred;
    };
    struct rules
    {
        bool cut = false;
        duration extra{};
        std::uint32_t drops = 0;
        std::uint32_t duplicates = 0;
    };

    void run_at(const std::string& node, std::uint64_t life,
                const std::function<void()>& work);

    virtual_time& time_;
    std::map<std::string, node_state> nodes_;
    std::map<node_pair, rules> rules_;
};

} // namespace lagoonquay
