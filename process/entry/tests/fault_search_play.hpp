//! One play of a search for faults: a job of one task in a small fleet, and
//! what happens to the fleet at given moments.
#pragma once

#include "leased_workers.hpp"
#include "listed_ledger.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

//! An action at a moment, both by their numbers.
struct fault_step
{
    std::size_t moment = 0;
    std::size_t action = 0;

    friend auto operator<=>(const fault_step&, const fault_step&) = default;
};

using fault_path = std::vector<fault_step>;

class fault_play;

enum class fault_time
{
    any,
    at_start, //!< just before the job is sent
    after_start,
};

struct fault_action
{
    std::string name;
    std::size_t faults = 1; //!< that it counts as
    fault_time when = fault_time::any;
    //! Does nothing unless an action with this name came before.
    std::string needs = {};
    //! @return whether it changes anything.
    std::function<bool(fault_play&)> apply;
};

//! Relative to the moment at which the job is sent, in order.
const std::vector<duration>& fault_moments();
//! In the order in which they happen at one moment.
const std::vector<fault_action>& fault_actions();

struct fault_finding
{
    std::string kind;
    std::string detail;

    friend bool operator==(const fault_finding&,
                           const fault_finding&) = default;
};

//! Three entries, two that may join, and two agents with a leased worker each,
//! with the durations of the product.
class fault_play
{
public:
    //! @param job_number  names the job, and so chooses its replicas.
    explicit fault_play(std::size_t job_number);

    //! @return whether each step changed something. Stops at one that doesn't.
    bool run(const fault_path& path);
    //! Writes the log of the fleet from here on, in virtual time.
    void open_log_here();
    std::vector<fault_finding> findings() const;
    //! @return a digest of what was sent, claimed, started and ended, and when.
    std::uint64_t trace() const noexcept;
    //! @return the faults that last, in words.
    std::string lasting() const;

    // For the actions. Each returns whether it changes anything.
    bool hold_up_start(const order_fate& fate, bool meets_next_life);
    bool separate(std::size_t entry, bool apart);
    bool separate_from_all(bool apart);
    bool renew_agent();
    bool renew_life();
    bool kill_entry(std::size_t entry);
    bool renew_entry(std::size_t entry);
    bool cut_off(std::size_t entry, bool apart);
    bool part(std::size_t a, std::size_t b);
    bool hold_list(std::size_t entry);
    bool join_late_entries(std::size_t first, std::size_t count);
    bool submit_again(std::size_t entry);

private:
    fake_fleet_options options();
    void trace_fleet(fake_fleet_hooks& hooks);
    std::optional<order_fate> fate_of(std::size_t agent, order_kind kind,
                                      const task_run& run);
    void begin_entry(std::size_t entry);
    void submit_first();
    bool is_idle();
    void submit(std::size_t entry);
    void run_until(duration moment);
    void note(std::uint64_t value);
    bool note_lasting(const std::string& fault, bool begins);

    const std::size_t job_number_;
    std::uint64_t trace_;
    leased_workers workers_;
    listed_ledger ledger_;
    fake_fleet fleet_;
    instant sent_{}; //!< when the job is sent
    std::optional<order_fate> first_fate_;
    bool meets_next_life_ = false;
    std::optional<std::size_t> first_agent_; //!< that sent the first start
    instant late_until_{};                   //!< when the first start has come
    bool sent_first_ = false;
    bool sent_again_ = false;
    std::set<std::string> lasting_;
};

} // namespace lagoonquay
