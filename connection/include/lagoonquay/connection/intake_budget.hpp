//! What all connections of a process may hold in memory and in descriptors
//! together.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace lagoonquay
{

struct intake_options
{
    //! Requests that have not arrived whole and answers that are not taken yet.
    std::size_t bytes = 16UL * 1024 * 1024;
    std::size_t connections = 3072; //!< at all listeners, links included

    friend bool operator==(const intake_options&,
                           const intake_options&) = default;
};

//! Names one connection in a budget.
using intake_number = std::uint64_t;

//! Counts bytes and connections. When there are too many bytes, the connection
//! whose exchange has lasted longest gives way, and so on. Thread-safe.
class intake_budget
{
public:
    explicit intake_budget(intake_options options = {},
                           clock_hook now = steady_now);

    //! @param give_way  frees what the connection holds. Called without a lock,
    //!                  from any thread, and not after remove().
    intake_number add(std::function<void()> give_way);
    void remove(intake_number it);

    //! Sets what a connection holds for the exchange that counts from `since`;
    //! before that time it does not give way. May make connections give way,
    //! this one among them.
    void hold(intake_number it, std::size_t bytes, instant since);

    //! Adds a way to close a connection that waits for its peer. It returns
    //! whether it closed one; called without a lock.
    void add_closer(std::function<bool()> close_one);

    //! Closes a waiting connection of any listener. @return false if none
    //! waits.
    bool close_one_waiting();

    //! @return whether a further connection may be opened.
    bool has_place() const noexcept;
    void take_place() noexcept;
    void free_place() noexcept;

    instant now() const;
    std::size_t bytes() const noexcept;
    std::size_t connections() const noexcept;
    std::uint64_t evictions() const noexcept; //!< since the start

private:
    static constexpr std::size_t shard_count = 16;

    struct account
    {
        std::function<void()> give_way;
        std::size_t bytes = 0;
        instant since{};
    };
    struct exchange_age
    {
        instant since{}; //!< may lie ahead: not evicted before
        intake_number number = 0;

        friend auto operator<=>(const exchange_age&,
                                const exchange_age&) = default;
    };
    struct shard
    {
        std::mutex mutex;
        std::map<intake_number, account> accounts;
        std::set<exchange_age> by_age; //!< of the accounts that hold much
    };

    shard& shard_of(intake_number it) noexcept;
    void set(shard& target, intake_number number, account& it,
             std::size_t bytes, instant since);
    std::optional<exchange_age> oldest_exchange();
    bool evict_one();

    const intake_options options_;
    const clock_hook now_;
    std::array<shard, shard_count> shards_;
    std::mutex closers_mutex_;
    std::vector<std::function<bool()>> closers_;
    std::atomic<intake_number> next_{1};
    std::atomic<std::size_t> bytes_{0};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::uint64_t> evictions_{0};
};

//! One connection's part of a budget, from its first byte to its end.
class intake_account
{
public:
    intake_account(std::shared_ptr<intake_budget> budget,
                   std::function<void()> give_way);
    ~intake_account();
    intake_account(const intake_account&) = delete;
    intake_account& operator=(const intake_account&) = delete;

    //! The next exchange begins now; nothing is held for it yet.
    //! @param grace  in which it does not give way.
    void begin(duration grace = duration::zero());
    //! Sets what is held for the exchange.
    void hold(std::size_t bytes);

private:
    const std::shared_ptr<intake_budget> budget_;
    const intake_number number_;
    instant since_{};
    std::size_t held_ = 0;
};

} // namespace lagoonquay
