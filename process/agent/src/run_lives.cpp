// Restarts of a worker: decides which of its lives executes an order.
#include "run_table.hpp"

#include <algorithm>

namespace lagoonquay
{

// The worker's clock is monotonic during a life, so a fencing token derived
// from it is higher than that of any earlier agent of this life without
// persisting tokens.
bool run_table::set_worker(const worker_address& worker, worker_time clock,
                           instant now, std::uint64_t decision)
{
    if (decision < worker_decision_)
        return false;
    worker_decision_ = decision;
    if (worker_ && worker_->life == worker.life && worker_->id == worker.id)
    {
        worker_ = worker;
        hear_reported_clock(clock, now);
        extend_if_needed(now);
        return false;
    }
    const bool same_name = worker_ && worker_->id == worker.id;
    worker_ = worker;
    clock_ = clock;
    clock_heard_ = now;
    fence_ =
        std::max(fencing_token(same_name ? fence_.number() + 1 : 0),
                 fencing_token(static_cast<std::uint64_t>(clock.count()) + 1));
    seen_ = 0;
    told_ = 0;
    ready_ = false;
    extending_.reset();
    looking_.reset();
    foreign_.clear();
    extended_ = now - options_.look_period;
    lease_over_ = now;
    unanswered_.reset();
    give_up_earlier_life(same_name, now);
    extend_if_needed(now);
    return true;
}

// A reported clock that is too far ahead is not accepted, because every later
// answer would look stale. The worker is queried instead, and its answer is
// used.
void run_table::hear_reported_clock(worker_time clock, instant now)
{
    const auto heard_ago = now - clock_heard_;
    const auto most = worker_now(now) +
                      std::chrono::duration_cast<worker_time>(
                          heard_ago / clock_drift_part + options_.clock_margin);
    if (clock <= most)
        return hear_clock(clock, now);
    if (looking_)
        return;
    looked_ = now;
    output_.extensions.push_back(
        number_order({std::nullopt, {}, seen_, {}}, now));
    looking_ = orders_;
}

// Orders contain the worker's name but not its life, so the next life under the
// same name may execute a start without an answer. A stop revokes it there.
void run_table::give_up_earlier_life(bool same_name, instant now)
{
    std::vector<task_run> over;
    for (auto& [id, it] : runs_)
    {
        if (it.start_settled || !same_name)
        {
            over.push_back(id);
            continue;
        }
        lease_over_ = longest_lease_end(now);
        it.at = phase::stopping;
        it.settled = orders_;
        it.clock_when_ordered = clock_;
        send_stop(id, it, now);
    }
    for (const auto& id : over)
        give_up(id, give_up_reason::restarted, now);
}

// The clock is monotonic during a life, so an answer with an earlier time than
// the order comes from the next life.
order_result run_table::result_in_this_life(const run& it,
                                            const order_reply& reply)
{
    const bool earlier = reply.clock && *reply.clock < it.clock_when_ordered;
    if (reply.result == order_result::accepted && earlier)
        return order_result::next_life;
    return reply.result;
}

// No start is sent until the worker has reported its life. Runs that it may
// have begun last at most as long as the longest lease that it grants.
void run_table::distrust_life(instant now)
{
    ready_ = false;
    lease_over_ = std::max(lease_over_, longest_lease_end(now));
}

instant run_table::longest_lease_end(instant now) const
{
    return now + options_.longest_lease +
           options_.longest_lease / clock_drift_part + options_.clock_margin;
}

// Only an earlier agent of this worker, or an order to an earlier life, can
// have used a higher token. The answer doesn't contain that token, so ours is
// doubled.
void run_table::raise_fence(fencing_token refused, const order_reply& reply,
                            instant now)
{
    if (refused < fence_)
        return;
    const auto clock = std::max(reply.clock.value_or(clock_), worker_now(now));
    fence_ =
        std::max(fencing_token(2 * fence_.number()),
                 fencing_token(static_cast<std::uint64_t>(clock.count()) + 1));
}

} // namespace lagoonquay
