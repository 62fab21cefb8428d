#include "lagoonquay/connection/agent_slots.hpp"

#include "lagoonquay/request/urgency.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

//! Credits that one result may bring: one comes back and one more opens the
//! window again.
constexpr std::uint32_t most_with_a_result = 2;

start_urgency urgency_of(const waiting_start& it, instant now) noexcept
{
    return {it.message.priority, it.message.start_by, now - it.since};
}

} // namespace

void agent_slots::resize(std::uint32_t slots,
                         const resources& capacity) noexcept
{
    slots_ = slots;
    capacity_ = capacity;
}

void agent_slots::drain() noexcept
{
    draining_ = true;
}

bool agent_slots::drained() const noexcept
{
    return draining_ && busy() == 0 &&
           std::all_of(accounts_.begin(), accounts_.end(),
                       [](const auto& it)
                       { return it.second.granted == it.second.used; });
}

void agent_slots::open(link_number link)
{
    accounts_.emplace(link, account());
}

void agent_slots::close(link_number link)
{
    accounts_.erase(link);
}

void agent_slots::give_back(link_number link, std::uint64_t returned_total)
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end() || returned_total <= it->second.returned)
        return;
    auto& target = it->second;
    const auto more = std::min(returned_total - target.returned,
                               target.granted - target.used);
    target.returned += more;
    target.used += more;
}

void agent_slots::note_received(link_number link)
{
    const auto it = accounts_.find(link);
    if (it != accounts_.end())
        ++it->second.received;
}

std::uint64_t agent_slots::received(link_number link) const
{
    const auto it = accounts_.find(link);
    return it == accounts_.end() ? 0 : it->second.received;
}

bool agent_slots::accept(link_number link, const dispatch_message& message,
                         instant now)
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end() || it->second.granted == it->second.used)
        return false;
    ++it->second.used;
    ++it->second.here;
    usual_.note(message.work->need);
    waiting_.push_back({link, message, now});
    return true;
}

// A large task that would go first lets smaller ones pass only while it finds
// no room; entries keep a worker free for a task that waits too long. Of equal
// tasks the first in the list is the first to arrive.
std::optional<waiting_start> agent_slots::next(instant now)
{
    if (running_ >= slots_)
        return std::nullopt;
    auto it = waiting_.end();
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each)
    {
        if (has_room(each->message.work->need) &&
            (it == waiting_.end() ||
             goes_before(urgency_of(*each, now), urgency_of(*it, now))))
            it = each;
    }
    if (it == waiting_.end())
        return std::nullopt;
    auto found = std::move(*it);
    waiting_.erase(it);
    ++running_;
    used_ = add(used_, found.message.work->need);
    return found;
}

bool agent_slots::is_waiting(link_number link,
                             const dispatch_message& message) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const auto& it)
                       {
                           return it.link == link &&
                                  it.message.submission == message.submission &&
                                  it.message.key == message.key;
                       });
}

std::vector<waiting_start>
agent_slots::take_waiting(const waiting_filter& chosen)
{
    std::vector<waiting_start> taken;
    std::deque<waiting_start> staying;
    for (auto& it : waiting_)
    {
        if (chosen(it))
            taken.push_back(std::move(it));
        else
            staying.push_back(std::move(it));
    }
    waiting_ = std::move(staying);
    return taken;
}

std::uint64_t agent_slots::finish(link_number link, const resources& need)
{
    if (running_ > 0)
        --running_;
    used_ = subtract(used_, need);
    return drop(link);
}

// Credits travel with results only. A link that holds less than its window gets
// its credit back, and one more until the window is open again; while tasks
// wait the window is small, so that the entries queue them by their own order.
std::uint64_t agent_slots::drop(link_number link)
{
    const auto it = accounts_.find(link);
    if (it == accounts_.end())
        return 0;
    auto& target = it->second;
    if (target.here > 0)
        --target.here;
    const auto most = draining_ ? 0 : window();
    std::uint32_t given = 0;
    while (holding(target) < most && given < most_with_a_result)
    {
        ++target.granted;
        ++given;
    }
    return given > 0 ? target.granted : 0;
}

std::vector<link_grant> agent_slots::refill()
{
    std::vector<link_grant> changed;
    for (auto& [link, it] : accounts_)
    {
        if (draining_ || slots_ == 0 || holding(it) > 0)
            continue;
        it.granted += window();
        changed.push_back({link, it.granted});
    }
    return changed;
}

link_grant agent_slots::total(link_number link) const
{
    const auto it = accounts_.find(link);
    return {link, it == accounts_.end() ? 0 : it->second.granted};
}

std::uint32_t agent_slots::running() const noexcept
{
    return running_;
}

std::uint32_t agent_slots::busy() const noexcept
{
    return running_ + static_cast<std::uint32_t>(waiting_.size());
}

resources agent_slots::demand() const noexcept
{
    auto sum = used_;
    for (const auto& it : waiting_)
        sum = add(sum, it.message.work->need);
    return sum;
}

std::uint32_t agent_slots::slots() const noexcept
{
    return slots_;
}

std::uint64_t agent_slots::holding(const account& it) noexcept
{
    return it.granted - it.used + it.here;
}

// At least one, so that every link has a task here or a credit.
std::uint32_t agent_slots::window() const noexcept
{
    if (waiting_.empty())
        return usual_most();
    const auto active =
        std::count_if(accounts_.begin(), accounts_.end(),
                      [](const auto& it) { return it.second.here > 0; });
    const auto sharing = std::max(static_cast<std::uint32_t>(active), 1U);
    return std::max(usual_most() / sharing, 1U);
}

// A worker that says nothing of slots is limited by its capacity alone.
std::uint32_t agent_slots::usual_most() const noexcept
{
    return usual_.fitting(capacity_, std::max(slots_, 1U));
}

// A task that needs nothing runs even after the worker has shrunk.
bool agent_slots::has_room(const resources& need) const noexcept
{
    return need == resources() || fits(add(used_, need), capacity_);
}

} // namespace lagoonquay
