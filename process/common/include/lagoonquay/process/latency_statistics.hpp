//! Statistics of how long something took. Thread-safe.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lagoonquay
{

//! Upper bounds of the buckets that durations are counted in.
constexpr std::array<duration, 12> latency_bounds{
    std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
    std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500), std::chrono::milliseconds(10000)};

//! What was counted so far.
struct latency_summary
{
    std::uint64_t count = 0;
    duration total{};
    duration longest{};
    //! Durations up to each bound, the shorter ones included.
    std::array<std::uint64_t, latency_bounds.size()> up_to{};

    friend bool operator==(const latency_summary&,
                           const latency_summary&) = default;
};

//! Counts durations in shards, each under its own lock, so that the threads
//! of a process seldom wait for each other.
class latency_statistics
{
public:
    latency_statistics();
    ~latency_statistics();
    latency_statistics(const latency_statistics&) = delete;
    latency_statistics& operator=(const latency_statistics&) = delete;

    void add(duration span);

    //! @return the sum over the shards, one lock at a time.
    latency_summary summary() const;

private:
    struct shard;
    static constexpr std::size_t shards = 8;

    std::array<std::unique_ptr<shard>, shards> shards_;
};

} // namespace lagoonquay
