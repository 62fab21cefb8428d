#include "fake_upstream.hpp"

#include <algorithm>
#include <charconv>

namespace lagoonquay
{

namespace
{

duration run_length(const std::string& payload)
{
    std::int64_t milliseconds = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(),
                    milliseconds);
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

fake_upstream::fake_upstream(fake_network& network, virtual_time& time,
                             std::string agent, std::string domain,
                             start_hook on_start)
    : network_(network), time_(time), agent_(std::move(agent)),
      domain_(std::move(domain)), on_start_(std::move(on_start))
{
}

// The upstream is a process of its own: it goes on when its agent dies, and
// only the answer is lost.
void fake_upstream::call(const upstream_call& asked,
                         const upstream_callback& done)
{
    const task_key key{asked.submission, asked.index};
    load_.begin(asked.agent_run);
    most_running_ = std::max(most_running_, load_.running());
    on_start_({key, agent_, domain_, time_.now()});
    const bool fails = asked.payload == "fail";
    const task_result result(
        {.index = asked.index,
         .reason =
             fails ? failure_reason::upstream_failed : failure_reason::none,
         .ran = effect::ran,
         .body = fails ? std::string() : expected_body(key),
         .detail = fails ? "failed to order" : ""});
    // The task has ended before its answer arrives.
    time_.after(run_length(asked.payload),
                [this, agent_run = asked.agent_run] { load_.end(agent_run); });
    network_.at_node(agent_, run_length(asked.payload),
                     [result, done] { done(result); });
}

upstream_announcement fake_upstream::announcement(std::uint32_t slots) const
{
    upstream_announcement it;
    it.address = {agent_, 1};
    it.slots = slots;
    it.capacity = {32000, 65536, 0};
    load_.describe(it);
    return it;
}

std::uint32_t fake_upstream::most_running() const noexcept
{
    return most_running_;
}

std::string expected_body(const task_key& key)
{
    return key.submission.text() + "/" + std::to_string(key.index.number());
}

} // namespace lagoonquay
