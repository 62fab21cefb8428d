#include "lagoonquay/connection/grant_pacing.hpp"

namespace lagoonquay
{

grant_pacing::grant_pacing(grant_pacing_options options) noexcept
    : options_(options)
{
}

namespace
{

//! A change of this part of the capacity is worth a message.
constexpr std::uint32_t notable_part = 8;

bool differs_notably(const grant_message& it, const grant_message& last)
{
    const auto now = it.used.processors_milli;
    const auto then = last.used.processors_milli;
    const auto change = now > then ? now - then : then - now;
    return change > it.capacity.processors_milli / notable_part;
}

} // namespace

// Totals of credits are left out: they travel with results and with the grants
// that change them.
bool grant_pacing::due(const grant_message& grant) const noexcept
{
    if (!last_)
        return true;
    const bool changed =
        grant.accepting != last_->accepting ||
        grant.draining != last_->draining || grant.slots != last_->slots ||
        grant.capacity != last_->capacity || grant.service != last_->service ||
        (grant.stray_runs == 0) != (last_->stray_runs == 0) ||
        differs_notably(grant, *last_);
    return changed ||
           grant.agent_time - last_->agent_time >= options_.stamp_age;
}

void grant_pacing::sent(const grant_message& grant)
{
    last_ = grant;
}

} // namespace lagoonquay
