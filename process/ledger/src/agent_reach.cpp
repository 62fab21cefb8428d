#include "lagoonquay/process/agent_reach.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lagoonquay
{

namespace
{

const agent_reach::list empty_list;

} // namespace

agent_reach::agent_reach(list agents)
{
    std::sort(agents.begin(), agents.end());
    agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
    if (!agents.empty())
        agents_ = std::make_shared<const list>(std::move(agents));
}

agent_reach::agent_reach(std::initializer_list<agent_run_id> agents)
    : agent_reach(list(agents))
{
}

agent_reach::list::const_iterator agent_reach::begin() const noexcept
{
    return (agents_ ? *agents_ : empty_list).begin();
}

agent_reach::list::const_iterator agent_reach::end() const noexcept
{
    return (agents_ ? *agents_ : empty_list).end();
}

std::size_t agent_reach::size() const noexcept
{
    return agents_ ? agents_->size() : 0;
}

bool agent_reach::empty() const noexcept
{
    return !agents_;
}

bool agent_reach::contains(const agent_run_id& agent) const noexcept
{
    return std::binary_search(begin(), end(), agent);
}

agent_reach agent_reach::joined(const agent_reach& more) const
{
    if (shares_list_with(more) ||
        std::includes(begin(), end(), more.begin(), more.end()))
        return *this;
    list united;
    std::set_union(begin(), end(), more.begin(), more.end(),
                   std::back_inserter(united));
    return agent_reach(std::move(united));
}

bool agent_reach::shares_list_with(const agent_reach& other) const noexcept
{
    return agents_ == other.agents_;
}

bool operator==(const agent_reach& a, const agent_reach& b) noexcept
{
    return a.shares_list_with(b) ||
           std::equal(a.begin(), a.end(), b.begin(), b.end());
}

} // namespace lagoonquay
