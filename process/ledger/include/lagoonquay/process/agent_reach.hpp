//! The agents that a job may use. Pure.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <compare>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <vector>

namespace lagoonquay
{

//! One incarnation of an agent.
struct agent_run_id
{
    agent_id agent;
    incarnation run;

    friend auto operator<=>(const agent_run_id&, const agent_run_id&) = default;
};

//! An immutable set of agents, in order. Copies share it, so that thousands of
//! claims cost one list.
class agent_reach
{
public:
    using list = std::vector<agent_run_id>;

    agent_reach() = default;
    //! Agents may come in any order and more than once.
    agent_reach(list agents);
    agent_reach(std::initializer_list<agent_run_id> agents);

    list::const_iterator begin() const noexcept;
    list::const_iterator end() const noexcept;
    std::size_t size() const noexcept;
    bool empty() const noexcept;
    bool contains(const agent_run_id& agent) const noexcept;

    //! @return both sets in one; shares this one if nothing is added.
    agent_reach joined(const agent_reach& more) const;

    //! @return whether both are copies of one; equal sets may not be.
    bool shares(const agent_reach& other) const noexcept;

    friend bool operator==(const agent_reach& a, const agent_reach& b) noexcept;

private:
    std::shared_ptr<const list> agents_;
};

} // namespace lagoonquay
