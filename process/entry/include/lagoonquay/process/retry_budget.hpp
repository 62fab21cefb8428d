//! When a task that was declined may be sent again.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/routing.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <mutex>

namespace lagoonquay
{

struct retry_options
{
    duration first_delay = std::chrono::milliseconds(10);
    duration longest_delay = std::chrono::seconds(1);
    //! Moves that one started task pays for, in hundredths.
    std::uint32_t percent = 20;
    //! Moves that a customer may save up, and the fleet ten times that.
    std::uint32_t burst = 100;

    friend bool operator==(const retry_options&,
                           const retry_options&) = default;
};

//! Budgets per customer and for the fleet as this entry sees it. Moves on
//! proof of "not run" count too. Thread-safe.
class retry_budget
{
public:
    //! @param draw  for the jitter.
    retry_budget(retry_options options, random_hook draw);

    //! A task of the customer was dispatched.
    void earn(const customer_id& customer);

    //! @param moves  how often the task was declined, this time included.
    //! @return how long it must wait. Zero only for the first move of a task
    //! within the budgets.
    duration spend(const customer_id& customer, std::uint32_t moves);

private:
    //! Hundredths of a move.
    struct purse
    {
        std::uint64_t saved = 0;
        bool opened = false;
    };

    bool pay(purse& from, std::uint64_t most) const noexcept;
    void save(purse& into, std::uint64_t most) const noexcept;
    duration jittered(duration delay) const;

    retry_options options_;
    random_hook draw_;
    sharded_map<customer_id, purse> customers_;
    std::mutex fleet_mutex_;
    purse fleet_;
};

} // namespace lagoonquay
