#include "log_queue.hpp"

#include <chrono>

namespace lagoonquay
{

namespace
{

//! After which the reader of a write, or its disk, counts as stuck.
constexpr auto longest_write = std::chrono::seconds(2);

// Lines gather for this long, so that one call writes several.
constexpr auto batch_time = std::chrono::milliseconds(20);

} // namespace

struct log_queue::shared
{
    shared(std::size_t most, log_output to)
        : most_bytes(most), output(std::move(to))
    {
    }

    const std::size_t most_bytes;
    const log_output output;
    std::mutex mutex;
    std::condition_variable changed;
    std::string waiting;
    std::uint64_t unreported = 0; //!< dropped lines that no line tells yet
    std::uint64_t begun = 0;      //!< writes
    std::uint64_t written = 0;    //!< writes that have ended
    bool ending = false;
    std::atomic<std::uint64_t> dropped{0};
};

// The thread is left to itself at the end: it may be in a write that a reader
// never takes.
log_queue::log_queue(std::size_t most_bytes, log_output output)
    : state_(std::make_shared<shared>(most_bytes, std::move(output)))
{
    std::thread([state = state_] { run(state); }).detach();
}

log_queue::~log_queue()
{
    const std::lock_guard lock(state_->mutex);
    state_->ending = true;
    state_->changed.notify_all();
}

void log_queue::push(std::string_view line)
{
    const std::lock_guard lock(state_->mutex);
    if (state_->waiting.size() + line.size() >= state_->most_bytes)
    {
        ++state_->dropped;
        ++state_->unreported;
        return;
    }
    const bool first = state_->waiting.empty();
    state_->waiting.append(line).push_back('\n');
    if (first)
        state_->changed.notify_all();
}

// What waits goes into the next write. Only writes are timed: a thread that has
// yet to get a processor says nothing of the reader.
void log_queue::drain()
{
    const auto& it = *state_;
    std::unique_lock lock(state_->mutex);
    const auto last = it.begun + (it.waiting.empty() ? 0 : 1);
    while (it.written < last)
    {
        state_->changed.wait(
            lock, [&] { return it.written >= last || it.begun > it.written; });
        const auto n = it.begun;
        if (!state_->changed.wait_for(lock, longest_write,
                                      [&] { return it.written >= n; }))
            return;
    }
}

std::uint64_t log_queue::dropped() const noexcept
{
    return state_->dropped;
}

void log_queue::run(const std::shared_ptr<shared>& state)
{
    std::unique_lock lock(state->mutex);
    for (;;)
    {
        state->changed.wait(
            lock, [&] { return state->ending || !state->waiting.empty(); });
        if (state->ending)
            return;
        state->changed.wait_for(lock, batch_time,
                                [&] { return state->ending; });
        auto lines = std::move(state->waiting);
        state->waiting.clear();
        if (state->unreported > 0)
            lines += "{\"event\":\"lines_dropped\",\"count\":" +
                     std::to_string(std::exchange(state->unreported, 0)) +
                     "}\n";
        ++state->begun;
        state->changed.notify_all();
        lock.unlock();
        state->output(lines);
        lock.lock();
        state->written = state->begun;
        state->changed.notify_all();
    }
}

} // namespace lagoonquay
