// Restarts of a worker: decides which of its lives executes an order.
#include "run_table.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! A token has the birth of the worker's life and its clock, in bits that are
//! exact in each JSON number.
constexpr unsigned life_bits = 32; //!< of the birth in milliseconds
constexpr unsigned clock_bits = 21;
constexpr std::uint64_t max_fence = (1ULL << (life_bits + clock_bits)) - 1;

//! The part of a token that counts the clock rises by 1 in this time.
constexpr worker_time token_step(16);

} // namespace

bool run_table::set_worker(const worker_address& worker, worker_time clock,
                           instant now, std::uint64_t decision)
{
    if (decision < worker_decision_)
        return false;
    worker_decision_ = decision;
    if (worker_ && worker_->life == worker.life && worker_->id == worker.id)
    {
        worker_ = worker;
        update_clock_from_report(clock, now);
        extend_if_needed(now);
        return false;
    }
    const bool is_same_worker = worker_ && worker_->id == worker.id;
    worker_ = worker;
    clock_ = clock;
    clock_updated_at_ = now;
    const auto least = is_same_worker ? fence_.number() + 1 : 0;
    fence_ =
        std::max(fencing_token(std::min(least, max_fence)), token_at(clock));
    last_end_seen_ = 0;
    last_end_acknowledged_ = 0;
    ready_ = false;
    fence_accepted_.reset();
    extension_in_flight_.reset();
    poll_in_flight_.reset();
    unknown_runs_.clear();
    last_extension_at_ = now - options_.min_poll_period;
    all_runs_end_at_ = now;
    unanswered_since_.reset();
    give_up_runs_of_earlier_life(is_same_worker, now);
    last_lease_end_ = {};
    extend_if_needed(now);
    return true;
}

fencing_token run_table::token_for(const std::string& id) const
{
    return worker_ && worker_->id == id ? fence_ : fencing_token(0);
}

// A later life has the higher token, wherever its clock begins, and so has a
// later process in the same life. So the first order of an agent's next process
// shuts out every order of earlier processes, and no token is persisted. Nine
// hours of the clock carry into one millisecond of the birth, which is no later
// than the next birth. Not so if the time of day was set back between two
// lives, or as the birth wraps after 49 days. A worker that names no birth has
// 0, where only its clock counts.
fencing_token run_table::token_at(worker_time clock) const
{
    const auto life = worker_->life.number();
    if (life == 0)
        return fencing_token(static_cast<std::uint64_t>(clock.count()) + 1);
    const auto steps = static_cast<std::uint64_t>(clock / token_step);
    const std::uint64_t birth = life % (1ULL << life_bits) << clock_bits;
    return fencing_token(std::min(birth + steps, max_fence));
}

// A run that is being stopped is on no list. Once the worker has accepted our
// token, it carries out no stop of an earlier process, so one that it had begun
// is over after the maximum time to stop a run. A run of an earlier process in
// a later life than the first one that was ready began after the callers were
// told that there is none; a wait would not change that.
bool run_table::earlier_stops_are_over(instant asked_at) const
{
    return was_ready_ ||
           (fence_accepted_ && asked_at > *fence_accepted_ + stop_time());
}

// A reported clock that is too far ahead is not accepted, because every later
// answer would look stale. The worker is queried instead, and its answer is
// used.
void run_table::update_clock_from_report(worker_time clock, instant now)
{
    const auto clock_age = now - clock_updated_at_;
    const auto max_clock =
        worker_now(now) +
        std::chrono::duration_cast<worker_time>(clock_age / clock_drift_part +
                                                options_.clock_margin);
    if (clock <= max_clock)
        return update_clock(clock, now);
    if (poll_in_flight_)
        return;
    last_poll_at_ = now;
    output_.extensions.push_back(
        number_order({std::nullopt, {}, last_end_seen_, {}}, now));
    poll_in_flight_ = last_extension_number_;
}

// Orders contain the worker's name but not its life, which changes with
// each restart, so a worker that restarted under the same name may have
// executed each start that no report of the earlier life confirms.
void run_table::give_up_runs_of_earlier_life(bool is_same_worker, instant now)
{
    std::vector<task_run> over;
    for (auto& [id, it] : runs_)
    {
        if (it.is_life_confirmed || !is_same_worker)
        {
            // A worker of another name refuses orders to this one.
            it.is_start_resolved = true;
            over.push_back(id);
            continue;
        }
        keep_for_next_life(id, it, now);
    }
    output_.begun = begun_life{*worker_, clock_, fence_, over.size(),
                               runs_.size() - over.size()};
    for (const auto& id : over)
        give_up(id, give_up_reason::restarted, now);
}

// An accepted start is in flight no more, so the reports of the next life show
// whether it runs there. A start without an answer may still arrive there, so
// it is stopped.
void run_table::keep_for_next_life(const task_run& id, run& it, instant now)
{
    all_runs_end_at_ = max_lease_end(now);
    it.stale_reports_up_to = last_extension_number_;
    it.clock_when_ordered = clock_;
    it.earlier_lease_end = std::max(it.earlier_lease_end, last_lease_end_);
    const bool goes_on =
        it.is_start_resolved && it.current_phase == phase::running;
    if (!goes_on)
        begin_stop(id, it, stop_cause::next_life, now);
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
void run_table::mark_life_unconfirmed(instant now)
{
    ready_ = false;
    all_runs_end_at_ = std::max(all_runs_end_at_, max_lease_end(now));
}

instant run_table::max_lease_end(instant now) const
{
    return now + options_.longest_lease +
           options_.longest_lease / clock_drift_part + options_.clock_margin;
}

// A next life that accepted the start grants a lease until the time that was
// sent, on its own clock, which may be behind that of the earlier life, and
// never for longer than the longest lease from the last order.
instant run_table::max_run_end(const run& it) const
{
    if (!it.is_start_resolved || it.is_life_confirmed)
        return all_runs_end_at_;
    const duration left = std::max(last_lease_end_, it.earlier_lease_end) -
                          it.clock_when_accepted;
    const auto by_clock =
        it.accepted + left + left / clock_drift_part + options_.clock_margin;
    const auto longest = all_runs_end_at_ + options_.longest_lease -
                         options_.lease +
                         options_.longest_lease / clock_drift_part;
    return std::clamp(by_clock, all_runs_end_at_,
                      std::max(all_runs_end_at_, longest));
}

// The worker refused our token, so it has accepted a higher one: of an agent
// whose token was raised, or from before the time of day was set back. The
// answer doesn't contain that token. What ours exceeds the worker's time by
// grows with each refusal, but only from what is needed, so that a next
// process's token is soon above it.
void run_table::raise_fence(fencing_token refused, const order_reply& reply,
                            instant now)
{
    constexpr std::uint64_t first_excess = 8;
    constexpr std::uint64_t growth = 4;
    if (refused < fence_)
        return;
    fence_accepted_.reset();
    const auto clock = std::max(reply.clock.value_or(clock_), worker_now(now));
    const auto present = token_at(clock);
    if (fence_ < present)
    {
        fence_ = present;
        return;
    }
    const auto excess = fence_.number() - present.number();
    const auto raised =
        present.number() + std::max(first_excess, growth * excess);
    fence_ = fencing_token(std::min(raised, max_fence));
}

} // namespace lagoonquay
