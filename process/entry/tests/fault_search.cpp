#include "fault_search.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

bool is_chosen_number(const std::vector<std::size_t>& chosen,
                      std::size_t number)
{
    return chosen.empty() ||
           std::find(chosen.begin(), chosen.end(), number) != chosen.end();
}

bool same_action(const fault_step& a, const fault_step& b)
{
    return a.action == b.action;
}

bool is_in_time(const fault_step& it)
{
    const auto moment = fault_moments()[it.moment];
    switch (fault_actions()[it.action].when)
    {
    case fault_time::at_start:
        return moment == duration::zero();
    case fault_time::after_start:
        return moment > duration::zero();
    case fault_time::any:
        break;
    }
    return true;
}

// The caller sends the job again once.
bool can_follow(const fault_path& path, const fault_step& next)
{
    const auto& action = fault_actions()[next.action];
    const auto is_there = [&](const auto& matches)
    {
        return std::any_of(path.begin(), path.end(),
                           [&](const fault_step& it)
                           { return matches(fault_actions()[it.action]); });
    };
    if (!is_in_time(next))
        return false;
    if (action.faults == 0 &&
        is_there([](const fault_action& it) { return it.faults == 0; }))
        return false;
    return is_there(
               [&](const fault_action& it)
               { return it.name.find(action.needs) != std::string::npos; }) ||
           action.needs.empty();
}

//! @return whether `part` has the actions of `whole` but for some, in order.
bool is_part(const fault_path& part, const fault_path& whole)
{
    auto left = part.begin();
    for (const auto& it : whole)
    {
        if (left != part.end() && same_action(*left, it))
            ++left;
    }
    return left == part.end();
}

} // namespace

std::string to_text(const fault_path& path)
{
    using std::chrono::milliseconds;
    std::string text;
    for (const auto& it : path)
    {
        const auto moment = std::chrono::duration_cast<milliseconds>(
            fault_moments()[it.moment]);
        text += (text.empty() ? "" : "; ") + std::to_string(moment.count()) +
                " ms: " + fault_actions()[it.action].name;
    }
    return text;
}

std::string found_path::actions() const
{
    std::string text;
    for (const auto& it : path)
        text += (text.empty() ? "" : "; ") + fault_actions()[it.action].name;
    return text;
}

std::string found_path::text() const
{
    return kind + " | " + to_text(path) + " | " + detail;
}

fault_search::fault_search(fault_search_options options)
    : options_(std::move(options)), waiting_(options_.depth + 1)
{
}

// A path is played once all with fewer faults have been. Those without a
// further fault join the paths of the present number.
void fault_search::run()
{
    const auto end = std::chrono::steady_clock::now() + options_.longest;
    waiting_[0].push_back({});
    for (std::size_t faults = 0; faults <= options_.depth; ++faults)
    {
        for (std::size_t n = 0; n < waiting_[faults].size(); ++n)
        {
            if (std::chrono::steady_clock::now() >= end)
            {
                counts_.not_played += waiting_[faults].size() - n;
                break;
            }
            const auto path = waiting_[faults][n];
            visit(path, faults);
        }
        waiting_[faults].clear();
    }
}

void fault_search::visit(const fault_path& path, std::size_t faults)
{
    ++counts_.plays;
    fault_play play(options_.job_number);
    if (!play.run(path))
    {
        ++counts_.without_change;
        return;
    }
    const auto findings = play.findings();
    if (!findings.empty())
    {
        ++counts_.with_findings;
        for (const auto& it : findings)
            note(path, it);
        return;
    }
    if (is_known_state(play, path))
        ++counts_.equal;
    else
        extend(path, faults);
}

// What happens at one moment has the order of the actions' numbers.
void fault_search::extend(const fault_path& path, std::size_t faults)
{
    const auto& actions = fault_actions();
    const auto first = path.empty() ? fault_step() : path.back();
    for (auto moment = first.moment; moment < fault_moments().size(); ++moment)
    {
        const bool same = !path.empty() && moment == first.moment;
        for (auto n = same ? first.action + 1 : 0; n < actions.size(); ++n)
        {
            const auto cost = faults + actions[n].faults;
            if (cost > options_.depth || !can_follow(path, {moment, n}) ||
                !is_chosen_number(options_.moments, moment) ||
                !is_chosen_number(options_.actions, n))
                continue;
            auto next = path;
            next.push_back({moment, n});
            if (is_chosen(next))
                waiting_[cost].push_back(std::move(next));
        }
    }
}

bool fault_search::is_chosen(const fault_path& path) const
{
    const auto& it = path.front();
    const auto number = it.moment * fault_actions().size() + it.action;
    return number % options_.shards == options_.shard;
}

// The first of two plays with the same trace may be extended by every step that
// the other may, if its own last step isn't later.
bool fault_search::is_known_state(const fault_play& play,
                                  const fault_path& path)
{
    const auto last = path.empty() ? fault_step() : path.back();
    const auto [found, is_new] =
        known_.try_emplace({play.trace(), play.lasting()}, last);
    if (is_new)
        return false;
    if (found->second <= last)
        return true;
    found->second = last;
    return false;
}

void fault_search::note(const fault_path& path, const fault_finding& finding)
{
    const bool known = std::any_of(found_.begin(), found_.end(),
                                   [&](const found_path& it) {
                                       return it.kind == finding.kind &&
                                              is_part(it.path, path);
                                   });
    if (!known)
        found_.push_back({finding.kind, path, finding.detail});
}

const std::vector<found_path>& fault_search::found() const noexcept
{
    return found_;
}

const fault_search_counts& fault_search::counts() const noexcept
{
    return counts_;
}

} // namespace lagoonquay
