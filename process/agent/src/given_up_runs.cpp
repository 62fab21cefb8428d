#include "given_up_runs.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::size_t max_remembered_runs = 256;

} // namespace

std::string_view to_text(give_up_reason reason) noexcept
{
    switch (reason)
    {
    case give_up_reason::absent:
        return "absent";
    case give_up_reason::lease_over:
        return "lease_over";
    case give_up_reason::refused:
        return "refused";
    case give_up_reason::restarted:
        return "restarted";
    }
    return {};
}

void given_up_runs::add(const given_up_run& lost)
{
    if (runs_.size() == max_remembered_runs)
        runs_.pop_front();
    runs_.push_back(lost);
}

std::optional<given_up_run> given_up_runs::take(const task_run& run)
{
    const auto found =
        std::find_if(runs_.begin(), runs_.end(),
                     [&](const given_up_run& it) { return it.run == run; });
    if (found == runs_.end())
        return std::nullopt;
    const auto taken = *found;
    runs_.erase(found);
    return taken;
}

} // namespace lagoonquay
