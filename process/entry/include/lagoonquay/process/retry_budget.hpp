//! Budgets and delays for retries of declined tasks.
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
    duration max_delay = std::chrono::seconds(1);
    //! Moves that each dispatch adds to the budgets, in hundredths of a move.
    std::uint32_t percent = 20;
    //! Maximum saved moves of a customer; ten times that for all customers.
    std::uint32_t burst = 100;

    friend bool operator==(const retry_options&,
                           const retry_options&) = default;
};

//! Retry budgets per customer and for all customers of this entry together. A
//! move is a retry of a declined task; moves with proof that the task was not
//! run count too. Thread-safe.
class retry_budget
{
public:
    //! @param draw  random source for the jitter.
    retry_budget(retry_options options, random_hook draw);

    //! Adds to the budgets for a dispatch of the customer.
    void add_for_dispatch(const customer_id& customer);

    //! Charges one move to the budgets.
    //! @param moves  how often the task was declined, this time included.
    //! @return the delay before the task may be sent again. Zero only for the
    //! first move of a task within the budgets.
    duration charge_move(const customer_id& customer, std::uint32_t moves);

private:
    //! Saved moves, in hundredths; full when first used.
    struct token_balance
    {
        std::uint64_t hundredths = 0;
        bool is_initialized = false;
    };

    bool try_withdraw(token_balance& from,
                      std::uint64_t max_hundredths) const noexcept;
    void deposit(token_balance& into,
                 std::uint64_t max_hundredths) const noexcept;
    duration jittered(duration delay) const;

    retry_options options_;
    random_hook draw_;
    sharded_map<customer_id, token_balance> customers_;
    std::mutex fleet_mutex_;
    token_balance fleet_;
};

} // namespace lagoonquay
