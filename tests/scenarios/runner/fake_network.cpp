#include "fake_network.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr duration one_way = std::chrono::microseconds(1500);

} // namespace

node_pair::node_pair(const std::string& left, const std::string& right)
    : first(std::min(left, right)), second(std::max(left, right))
{
}

fake_network::fake_network(virtual_time& time) : time_(time)
{
}

void fake_network::send(const std::string& from, const std::string& to,
                        std::function<void()> arrive)
{
    auto& rule = rules_[node_pair(from, to)];
    if (rule.cut)
        return;
    if (rule.drops > 0)
    {
        --rule.drops;
        return;
    }
    at_node(to, one_way + rule.extra, arrive);
    if (rule.duplicates == 0)
        return;
    --rule.duplicates;
    at_node(to, one_way + rule.extra, std::move(arrive));
}

void fake_network::at_node(const std::string& node, duration delay,
                           std::function<void()> work)
{
    const auto life = nodes_[node].life;
    time_.after(delay, [this, node, life, it = std::move(work)]
                { run_at(node, life, it); });
}

void fake_network::cut(const node_pair& pair)
{
    rules_[pair].cut = true;
}

void fake_network::heal(const node_pair& pair)
{
    rules_[pair] = rules();
}

bool fake_network::is_cut(const node_pair& pair) const
{
    const auto it = rules_.find(pair);
    return it != rules_.end() && it->second.cut;
}

void fake_network::delay(const node_pair& pair, duration extra)
{
    rules_[pair].extra = extra;
}

void fake_network::drop_next(const node_pair& pair, std::uint32_t count)
{
    rules_[pair].drops = count;
}

void fake_network::duplicate_next(const node_pair& pair, std::uint32_t count)
{
    rules_[pair].duplicates = count;
}

void fake_network::kill(const std::string& node)
{
    auto& it = nodes_[node];
    it.alive = false;
    it.frozen = false;
    it.deferred.clear();
    ++it.life;
}

void fake_network::restart(const std::string& node)
{
    nodes_[node].alive = true;
}

void fake_network::freeze(const std::string& node)
{
    nodes_[node].frozen = true;
}

void fake_network::thaw(const std::string& node)
{
    auto& it = nodes_[node];
    it.frozen = false;
    const auto life = it.life;
    auto deferred = std::move(it.deferred);
    it.deferred.clear();
    for (const auto& work : deferred)
        run_at(node, life, work);
}

bool fake_network::alive(const std::string& node) const
{
    const auto it = nodes_.find(node);
    return it == nodes_.end() || it->second.alive;
}

bool fake_network::frozen(const std::string& node) const
{
    const auto it = nodes_.find(node);
    return it != nodes_.end() && it->second.frozen;
}

std::uint64_t fake_network::life(const std::string& node) const
{
    const auto it = nodes_.find(node);
    return it == nodes_.end() ? 1 : it->second.life;
}

void fake_network::run_at(const std::string& node, std::uint64_t life,
                          const std::function<void()>& work)
{
    auto& it = nodes_[node];
    if (!it.alive || it.life != life)
        return;
    if (it.frozen)
    {
        it.deferred.push_back(work);
        return;
    }
    work();
}

} // namespace lagoonquay
