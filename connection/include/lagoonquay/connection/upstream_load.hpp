//! An upstream's count of its running tasks by the agent's run.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <cstdint>
#include <map>
#include <mutex>

namespace lagoonquay
{

struct upstream_announcement;

//! Counts for the announcement. Thread-safe.
class upstream_load
{
public:
    //! A task that this run of the agent called begins.
    void begin(incarnation agent_run);
    //! A task that this run of the agent called ends.
    void end(incarnation agent_run);

    //! Writes the counts into an announcement.
    void describe(upstream_announcement& target) const;

    std::uint32_t running() const;

private:
    mutable std::mutex mutex_;
    incarnation last_run_;
    std::map<incarnation, std::uint32_t> running_;
};

} // namespace lagoonquay
