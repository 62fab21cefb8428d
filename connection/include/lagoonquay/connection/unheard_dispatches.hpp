//! An entry's dispatches of one link that the agent has not confirmed. Pure.
#pragma once

#include "lagoonquay/request/job.hpp"

#include <cstdint>
#include <deque>

namespace lagoonquay
{

//! What an agent says of its load does not include a dispatch that it had not
//! received by then. Totals count from the opening of the link. Not
//! thread-safe.
class unheard_dispatches
{
public:
    //! Notes a dispatch with its need.
    void sent(const resources& need);

    //! Takes over how many dispatches the agent has received in all.
    void confirmed(std::uint64_t total);

    //! @return dispatches on their way.
    std::uint32_t count() const noexcept;

    //! @return what they need together.
    const resources& needs() const noexcept;

private:
    std::uint64_t confirmed_ = 0;
    std::deque<resources> on_their_way_; //!< the oldest first
    resources needs_;
};

} // namespace lagoonquay
