//! The set of agents that a job may use, called its reach. Pure.
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

//! Immutable, sorted set of the agents that a job may use. Copies share one
//! list, so that thousands of claims with the same agents store it once.
class agent_reach
{
public:
    using list = std::vector<agent_run_id>;

    agent_reach() = default;
    //! @param agents  in any order; duplicates are removed.
    agent_reach(list agents);
    agent_reach(std::initializer_list<agent_run_id> agents);

    list::const_iterator begin() const noexcept;
    list::const_iterator end() const noexcept;
    std::size_t size() const noexcept;
    bool empty() const noexcept;
    bool contains(const agent_run_id& agent) const noexcept;

    //! @return the union; shares this set's list if `more` adds nothing.
    agent_reach joined(const agent_reach& more) const;

    //! @return whether both use the same list; equal sets need not.
    bool shares_list_with(const agent_reach& other) const noexcept;

    friend bool operator==(const agent_reach& a, const agent_reach& b) noexcept;

private:
    std::shared_ptr<const list> agents_;
};

} // namespace lagoonquay
